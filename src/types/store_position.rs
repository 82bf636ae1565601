use serde::{Deserialize, Serialize};

/// A position in the sequence of changes of the key-value service.
///
/// After the service was restored from a backup it assigns revisions a second time, in a
/// higher era. Positions are ordered by era first, so that a later one is always higher.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StorePosition {
    /// Number of times the service was restored from a backup; 0 where it doesn't report it.
    pub era: u64,
    /// Revision within that era.
    pub revision: i64,
}

/// Maximum number of revisions that a restore may undo: 4 hours at 1,000 writes a second. It
/// is low enough that numbers derived from fences stay exact where they are read as floating
/// point.
const MAX_LOST_REVISIONS: u64 = 1 << 24;

impl StorePosition {
    /// The position as a single number that increases with positions, to fence writes and
    /// orders.
    pub fn fence(self) -> u64 {
        let revision = u64::try_from(self.revision).unwrap_or(0);
        self.era
            .saturating_mul(MAX_LOST_REVISIONS)
            .saturating_add(revision)
    }
}
