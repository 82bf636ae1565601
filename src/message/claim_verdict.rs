use serde::{Deserialize, Serialize};

use super::ClaimRecord;

/// Result of a [`ClaimWrite`](super::ClaimWrite).
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// The claim was written at this revision.
    Taken(i64),
    /// The claim was not written, because its stored revision, or that of another claim of the
    /// same transaction, isn't the expected one.
    Stands {
        /// Revision of the stored claim; 0 if there is none.
        revision: i64,
        /// The stored claim, if there is one.
        record: Option<ClaimRecord>,
    },
    /// The claim may or may not have been written.
    Unknown,
}
