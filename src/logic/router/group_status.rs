use serde::{Deserialize, Serialize};

/// One group as a router sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GroupStatus {
    /// Id.
    pub id: String,
    /// Epoch.
    pub epoch: u64,
    /// Model.
    pub model: String,
    /// Version.
    pub version: String,
    /// Members in rank order.
    pub members: Vec<String>,
    /// `open`, or why the group takes no work.
    pub state: String,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests it runs at once.
    pub slots: u32,
}
