use serde::{Deserialize, Serialize};

use crate::types::Millis;

/// Load of a group by requests of one priority, as its leader estimates it.
///
/// Its fields have short names on the wire because it is sent often.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClassLoad {
    /// Priority that the load is of.
    #[serde(rename = "p")]
    pub priority: u8,
    /// Number of requests that wait.
    #[serde(rename = "q")]
    pub queued: u32,
    /// Estimated time until a new request would start, in milliseconds.
    #[serde(rename = "w")]
    pub wait_ms: Millis,
    /// Mean duration of a run, in milliseconds; 0 before the first run has ended.
    #[serde(rename = "m")]
    pub mean_ms: Millis,
}
