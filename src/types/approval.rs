use serde::{Deserialize, Serialize};

/// Approval of a bundle by an operator other than its author; written once.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Approval {
    /// Number of the approved bundle.
    pub number: u64,
    /// Operator who approved it.
    pub by: String,
}
