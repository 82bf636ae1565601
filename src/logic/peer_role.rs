use serde::{Deserialize, Serialize};

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerRole {
    /// A router on an entry instance.
    Router,
    /// An agent beside an endpoint.
    Agent,
}
