use serde::{Deserialize, Serialize};

use crate::types::Millis;

/// Load of one priority at a group, as its leader expects it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClassLoad {
    /// The priority.
    pub priority: u8,
    /// Requests waiting.
    pub queued: u32,
    /// Time until one more would start, in milliseconds.
    pub wait_ms: Millis,
    /// Mean time of a run, in milliseconds; 0 before the first.
    pub mean_ms: Millis,
}
