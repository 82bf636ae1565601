use super::OnceState;
use crate::types::Millis;

/// Entry of [`OnceMemory`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OnceEntry {
    /// Highest claim attempt this entry speaks for.
    pub attempt: u32,
    /// What is known.
    pub state: OnceState,
    /// Forgotten at this time; the claim itself is gone by then.
    pub until: Millis,
}
