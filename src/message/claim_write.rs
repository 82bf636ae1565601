use serde::{Deserialize, Serialize};

use super::{ClaimKey, ClaimRecord};
use crate::types::RequestId;

/// A claim that is to be written by compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimWrite {
    /// Request that the claim is written for.
    pub request: RequestId,
    /// Key of the claim.
    pub key: ClaimKey,
    /// Expected revision of the stored claim; 0 if there must be none.
    pub revision: i64,
    /// The claim to write.
    pub record: ClaimRecord,
}
