use serde::{Deserialize, Serialize};

use super::ClassLoad;
use crate::types::{GroupId, InstanceId, Phase};

/// State of a group as its leader reports it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeadReport {
    /// Group that is led.
    pub group: GroupId,
    /// Epoch of the group.
    pub epoch: u64,
    /// Whether the group accepts new requests.
    pub open: bool,
    /// Phase of the group.
    pub phase: Phase,
    /// Members whose presence lease the leader doesn't hold.
    pub missing: Vec<InstanceId>,
    /// Members that are leaving.
    pub leaving: Vec<InstanceId>,
    /// Members whose endpoint failed to load.
    pub failed: Vec<InstanceId>,
    /// Whether the endpoints of all members have loaded.
    pub ready: bool,
    /// Number of requests that the group can run concurrently.
    pub slots: u32,
    /// Number of running requests.
    pub running: u32,
    /// Load by priority, most urgent first, for each class of the agent's bundle.
    pub loads: Vec<ClassLoad>,
}
