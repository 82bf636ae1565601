use crate::message::RunId;

/// What is remembered of one claimed key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ClaimStatus {
    /// No attempt up to the entry's number has run, or will run.
    Barred,
    /// Waiting or running as this run.
    Active(RunId),
    /// Answered in full; the text is absent when it was too long to keep or has been evicted.
    Done {
        /// HTTP status.
        status: u16,
        /// Number of pieces of the answer.
        pieces: u64,
        /// The answer.
        text: Option<String>,
    },
    /// Handed to the endpoint, with an unknown outcome.
    Lost,
}
