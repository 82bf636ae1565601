use super::GroupStatus;
use serde::{Deserialize, Serialize};

/// The fleet as one router sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The router.
    pub router: String,
    /// Its data hall.
    pub hall: String,
    /// Number of the bundle in force; 0 before the first.
    pub bundle: u64,
    /// Whether the proof that it is the newest is recent enough.
    pub proven: bool,
    /// Whether the key-value service answers.
    pub store_up: bool,
    /// Whether this router holds the planner lease of its hall.
    pub planner: bool,
    /// Requests in flight at the router.
    pub requests: usize,
    /// Groups.
    pub groups: Vec<GroupStatus>,
    /// Live instances of the router's hall outside any group.
    pub spares: Vec<String>,
}
