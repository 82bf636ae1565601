use serde::{Deserialize, Serialize};

use super::BundleBody;

/// A submitted bundle: written once, never changed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Bundle {
    /// Number given at submission; only grows.
    pub number: u64,
    /// Operator who submitted it.
    pub author: String,
    /// What it says.
    pub body: BundleBody,
}
