use serde::{Deserialize, Serialize};

use super::ClaimRecord;

/// What became of a [`ClaimWrite`](super::ClaimWrite).
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// Written at this revision.
    Taken(i64),
    /// Not written: this is what stands; no record where there is no claim.
    Stands {
        /// Revision of the claim; 0 where there is none.
        revision: i64,
        /// The claim.
        record: Option<ClaimRecord>,
    },
    /// It may or may not have been written.
    Unknown,
}
