use serde::{Deserialize, Serialize};

use super::Refusal;

/// How an attempt ended, as the agent knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// The endpoint answered in full; `pieces` counts from the request's start.
    Complete {
        /// HTTP status of the endpoint.
        status: u16,
        /// Offset behind the last piece.
        pieces: u64,
    },
    /// It didn't run.
    Refused(Refusal),
    /// It was handed over and its outcome isn't known.
    Broken,
}
