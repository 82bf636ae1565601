use super::GroupStatus;
use serde::{Deserialize, Serialize};

/// The fleet as one router sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The router.
    pub router: String,
    /// Its data hall.
    pub hall: String,
    /// Bundle in force.
    pub bundle: u64,
    /// Whether that is proved to be the newest.
    pub proven: bool,
    /// Whether the key-value service answers.
    pub store_up: bool,
    /// Whether this router plans its hall.
    pub planner: bool,
    /// Requests in flight here.
    pub requests: usize,
    /// Groups.
    pub groups: Vec<GroupStatus>,
    /// Live instances of the own hall outside any group.
    pub spares: Vec<String>,
}
