use serde::{Deserialize, Serialize};

/// Which bundle is in force; its number only grows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Head {
    /// Number of the bundle in force; 0 before the first.
    pub number: u64,
    /// Operator who rolled it.
    pub by: String,
    /// Nonce of the write, by which a lost answer is settled.
    pub nonce: u64,
}
