use serde::{Deserialize, Serialize};

/// State of a claimed key, as an agent remembers it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Recall {
    /// The request has not started at this agent, and the queried attempt never will.
    NotRun,
    /// The agent has not seen the request, which may still arrive.
    NotSeen,
    /// The request is waiting or running.
    Running {
        /// Number of pieces so far.
        pieces: u64,
        /// Text of those pieces.
        text: String,
    },
    /// The request has ended with an answer.
    Done {
        /// HTTP status of the endpoint's answer.
        status: u16,
        /// Number of pieces of the whole answer.
        pieces: u64,
        /// Text of the whole answer.
        text: String,
    },
    /// The request may have run, and its outcome or its text is no longer known.
    Lost,
}
