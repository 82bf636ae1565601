use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::capacity::LoadReport;
use super::{AccountUse, EndpointUpdate, ModelDemand};
use crate::types::{InstanceId, Millis, StorePosition};

/// What the planner broadcasts to all other routers, so that they needn't read the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest {
    /// The planner, which is the root of the trees.
    pub root: InstanceId,
    /// Fence of its planner lease; digests with a lower one are dropped.
    pub fence: u64,
    /// Number of the digest under that fence; it rises.
    pub number: u64,
    /// Tree along which it is forwarded.
    pub tree: u8,
    /// Position of the list after which the updates begin.
    pub from: StorePosition,
    /// Position of the list up to which they reach; the routing was read in the same era.
    pub upto: StorePosition,
    /// Whether it has all updates between them; otherwise the list has to be read.
    pub whole: bool,
    /// Time since the planner's list was known to be current, in milliseconds.
    pub list_age: Millis,
    /// Version of the planner's routing.
    pub routing: u64,
    /// Time since that was known to be the newest version in the store, in milliseconds.
    pub routing_age: Millis,
    /// Data halls that operators evacuate.
    #[serde(default)]
    pub halls: Vec<Arc<str>>,
    /// Position of the store up to which these are known.
    #[serde(default)]
    pub halls_at: StorePosition,
    /// Number of routers whose demand is summed up in `demand`.
    pub told: u64,
    /// Their demand a second, by model.
    pub demand: Vec<ModelDemand>,
    /// What the largest client accounts have used through them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub accounts: Vec<AccountUse>,
    /// The youngest loads from the weight store in progress, as far as there is room.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<LoadReport>,
    /// Endpoint updates, each with the position up to which it was read.
    pub news: Vec<(StorePosition, EndpointUpdate)>,
}
