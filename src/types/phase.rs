use serde::{Deserialize, Serialize};

/// Planned phase of a group; within one epoch it only moves forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The group may accept new requests.
    Serving,
    /// The group accepts no new requests and finishes those it has.
    Draining,
}
