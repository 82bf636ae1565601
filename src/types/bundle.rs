use serde::{Deserialize, Serialize};

use super::BundleBody;

/// A submitted bundle: written once, never changed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Bundle {
    /// Number assigned at submission; later bundles have higher numbers.
    pub number: u64,
    /// Operator who submitted it.
    pub author: String,
    /// Content of the bundle.
    pub body: BundleBody,
}
