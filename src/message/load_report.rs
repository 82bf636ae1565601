use serde::{Deserialize, Serialize};

use super::ClassLoad;

/// Load of a group; sent between full reports to the routers that have used it recently.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LoadReport {
    /// Epoch of the group that the sender leads.
    pub epoch: u64,
    /// Number of running requests.
    pub running: u32,
    /// Load by priority, most urgent first.
    pub loads: Vec<ClassLoad>,
}
