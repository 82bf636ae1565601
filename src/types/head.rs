use serde::{Deserialize, Serialize};

/// Record of the bundle in force; its number only increases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Head {
    /// Number of the bundle in force; 0 before the first.
    pub number: u64,
    /// Operator who put it in force.
    pub by: String,
    /// Random number of the write: a router whose write got no answer recognizes its own
    /// record by it.
    pub nonce: u64,
}
