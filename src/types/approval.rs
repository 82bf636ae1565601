use serde::{Deserialize, Serialize};

/// Sign-off of a bundle by an operator other than its author; written once.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Approval {
    /// The bundle's number.
    pub number: u64,
    /// Operator who approved it.
    pub by: String,
}
