use serde::{Deserialize, Serialize};

/// Which duty a process has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerRole {
    /// Entry instance.
    Router,
    /// Beside an endpoint.
    Agent,
}
