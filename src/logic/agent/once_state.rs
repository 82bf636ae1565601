use crate::message::RunId;

/// What is remembered of one claimed key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OnceState {
    /// No attempt up to the entry's number has run or ever will.
    Barred,
    /// Waiting or running as this run.
    Active(RunId),
    /// Ended; the text is absent when it was too long to keep.
    Done {
        /// HTTP status.
        status: u16,
        /// Pieces of the answer.
        pieces: u64,
        /// The answer.
        text: Option<String>,
    },
    /// Handed over, outcome unknown.
    Lost,
}
