use serde::{Deserialize, Serialize};

use super::Refusal;

/// How an attempt ended, as far as the agent knows.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// The endpoint sent a complete answer.
    Complete {
        /// HTTP status of the endpoint's answer.
        status: u16,
        /// Number of pieces of the whole answer, including those of earlier attempts.
        pieces: u64,
    },
    /// The attempt did not run.
    Refused(Refusal),
    /// The attempt may have run, and its outcome is unknown.
    Broken,
}
