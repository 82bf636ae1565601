use super::ClaimStatus;
use crate::types::Millis;

/// Entry of [`ClaimMemory`](super::ClaimMemory).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimEntry {
    /// Highest attempt of the claim that this entry covers.
    pub attempt: u32,
    /// What is known.
    pub state: ClaimStatus,
    /// When the entry expires; the claim itself has expired by then.
    pub until: Millis,
}
