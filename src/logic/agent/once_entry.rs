use super::OnceState;
use crate::types::Millis;

/// Entry of [`OnceMemory`](super::OnceMemory).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OnceEntry {
    /// Highest attempt of the claim that this entry covers.
    pub attempt: u32,
    /// What is known.
    pub state: OnceState,
    /// When the entry expires; the claim itself has expired by then.
    pub until: Millis,
}
