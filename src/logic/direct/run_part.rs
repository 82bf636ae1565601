use bytes::Bytes;

/// Part of an endpoint's answer to a run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RunPart {
    /// The head of a stream has arrived; the host keeps it.
    Head,
    /// One event of a stream.
    Piece {
        /// Its id, where it has one.
        id: Option<u64>,
        /// Its bytes.
        bytes: Bytes,
    },
    /// The stream has ended in order.
    End,
    /// A whole answer has arrived; the host keeps it.
    Whole {
        /// Its status.
        status: u16,
        /// Whether the endpoint says that it did not run the request.
        not_run: bool,
    },
    /// Nothing was sent: no connection came up.
    NotSent {
        /// Whether the address refused, rather than stayed silent.
        refused: bool,
    },
    /// The answer broke off, or was none; the request may have run.
    Broken,
}
