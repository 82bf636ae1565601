use serde::{Deserialize, Serialize};

/// What an agent remembers of a claimed key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Recall {
    /// It never started here and never will under the attempt asked about.
    NotRun,
    /// It hasn't been seen here yet; it may still arrive.
    NotSeen,
    /// It is waiting or running; `text` is what it has produced up to `pieces`.
    Running {
        /// Pieces so far.
        pieces: u64,
        /// Their text.
        text: String,
    },
    /// It has ended.
    Done {
        /// HTTP status of the endpoint.
        status: u16,
        /// Pieces of the whole answer.
        pieces: u64,
        /// The whole answer.
        text: String,
    },
    /// It was handed over and its outcome, or its text, isn't known any more.
    Lost,
}
