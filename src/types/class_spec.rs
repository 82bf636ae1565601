use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Millis;

/// One class of requests: how urgent it is and what may be done with it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Name that callers give in `Runrail-Class`.
    pub name: Arc<str>,
    /// 0 goes first.
    pub priority: u8,
    /// Slots of each group that no less urgent class may take.
    #[serde(default)]
    pub reserved: u32,
    /// Whether running work may be paused for a more urgent class.
    #[serde(default)]
    pub preempt: bool,
    /// Whether a request may be run again when its outcome is unknown.
    #[serde(default = "yes")]
    pub repeat: bool,
    /// Deadline for callers that give none, in milliseconds.
    #[serde(default = "default_deadline")]
    pub deadline_ms: Millis,
}

fn yes() -> bool {
    true
}

fn default_deadline() -> Millis {
    60_000
}
