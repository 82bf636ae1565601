use serde::{Deserialize, Serialize};

use crate::types::Millis;

/// Load of one priority at a group, as its leader expects it.
///
/// It is sent often, so its fields have short names on the wire.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClassLoad {
    /// The priority.
    #[serde(rename = "p")]
    pub priority: u8,
    /// Requests waiting.
    #[serde(rename = "q")]
    pub queued: u32,
    /// Time until one more would start, in milliseconds.
    #[serde(rename = "w")]
    pub wait_ms: Millis,
    /// Mean time of a run, in milliseconds; 0 before the first.
    #[serde(rename = "m")]
    pub mean_ms: Millis,
}
