use serde::{Deserialize, Serialize};

use super::ClassLoad;

/// Load of a group, sent between full reports to the routers that use it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LoadReport {
    /// Epoch of the group that the sender leads.
    pub epoch: u64,
    /// Requests running.
    pub running: u32,
    /// Load by priority, most urgent first.
    pub loads: Vec<ClassLoad>,
}
