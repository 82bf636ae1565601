use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Millis;

/// One class of requests: its priority, and whether its requests may be paused or repeated.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Name that callers send in the `Runrail-Class` header.
    pub name: Arc<str>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Slots of each group that are kept free for this class: less urgent classes can't use
    /// them.
    #[serde(default)]
    pub reserved: u32,
    /// Whether a running request may be paused for one of a more urgent class.
    #[serde(default)]
    pub preempt: bool,
    /// Whether a request whose outcome is unknown may be run again.
    #[serde(default = "yes")]
    pub repeat: bool,
    /// Deadline of requests for which the caller gives none, in milliseconds.
    #[serde(default = "default_deadline")]
    pub deadline_ms: Millis,
}

fn yes() -> bool {
    true
}

fn default_deadline() -> Millis {
    60_000
}
