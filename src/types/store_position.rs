use serde::{Deserialize, Serialize};

/// A point in the changes of the key-value service.
///
/// A service that comes back from an older copy gives revisions out again, and its era
/// rises. Positions are ordered by era first, so that a later one is never the lower.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StorePosition {
    /// How often the service has come back from a copy; 0 where it doesn't tell.
    pub era: u64,
    /// Revision within that era.
    pub revision: i64,
}

/// Most revisions that a copy may be behind: 4 hours of 1,000 writes a second. Small enough
/// that numbers derived from fences stay exact where they are read as floating point.
const REVISIONS_LOST: u64 = 1 << 24;

impl StorePosition {
    /// A number that rises with positions, for those who compare plain numbers.
    pub fn fence(self) -> u64 {
        let revision = u64::try_from(self.revision).unwrap_or(0);
        self.era * REVISIONS_LOST + revision
    }
}
