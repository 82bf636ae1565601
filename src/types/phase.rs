use serde::{Deserialize, Serialize};

/// How far a group is in its planned life; it only moves forward within one epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// May take new work.
    Serving,
    /// Takes no new work and finishes what it has.
    Draining,
}
