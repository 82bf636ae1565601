use serde::{Deserialize, Serialize};

use super::{ClaimKey, ClaimRecord};
use crate::types::RequestId;

/// One claim to write by compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimWrite {
    /// Request that wants it.
    pub request: RequestId,
    /// Its key.
    pub key: ClaimKey,
    /// Revision that the claim must have; 0 for none.
    pub revision: i64,
    /// The claim.
    pub record: ClaimRecord,
}
