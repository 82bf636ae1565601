use bytes::Bytes;

/// Part of an endpoint's answer to a run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RunPart {
    /// The head of a stream has arrived; the host keeps it.
    Head,
    /// One event of a stream.
    Event {
        /// Its id, if it has one.
        id: Option<u64>,
        /// Its bytes.
        bytes: Bytes,
    },
    /// The stream has ended normally.
    End,
    /// A complete answer has arrived; the host keeps it.
    Complete {
        /// HTTP status.
        status: u16,
        /// Whether the endpoint says that it did not run the request.
        not_run: bool,
    },
    /// Nothing was sent because no connection could be opened.
    NotSent {
        /// Whether the connection was refused, rather than left unanswered.
        refused: bool,
    },
    /// The answer was cut off or invalid; the request may have run.
    Broken,
}
