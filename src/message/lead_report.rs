use serde::{Deserialize, Serialize};

use super::ClassLoad;
use crate::types::{GroupId, InstanceId, Phase};

/// State of a group as its leader sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeadReport {
    /// The group.
    pub group: GroupId,
    /// Its epoch.
    pub epoch: u64,
    /// Whether the leader takes new work now.
    pub open: bool,
    /// Planned phase.
    pub phase: Phase,
    /// Members whose lease the leader doesn't hold.
    pub missing: Vec<InstanceId>,
    /// Members that are leaving.
    pub leaving: Vec<InstanceId>,
    /// Members whose endpoint failed to load.
    pub failed: Vec<InstanceId>,
    /// Whether every member has loaded.
    pub ready: bool,
    /// Requests the engine runs at once.
    pub slots: u32,
    /// Requests running.
    pub running: u32,
    /// Load by priority, most urgent first, for each class of the agent's bundle.
    pub loads: Vec<ClassLoad>,
}
