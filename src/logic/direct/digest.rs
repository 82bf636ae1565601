use serde::{Deserialize, Serialize};

use super::{EntryNews, ModelDemand};
use crate::types::{InstanceId, Millis, StorePosition};

/// What the router that plans tells all others, so that they need not read the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest {
    /// The router that plans.
    pub root: InstanceId,
    /// Fence of its duty; a digest of an older one is left aside.
    pub fence: u64,
    /// Number of the digest under that fence.
    pub number: u64,
    /// Tree along which it goes.
    pub tree: u8,
    /// Position of the list behind which the news begin.
    pub from: StorePosition,
    /// Position of the list up to which they go; the routing was read in the same era.
    pub upto: StorePosition,
    /// Whether they are all there; otherwise the list has to be read.
    pub whole: bool,
    /// How long ago the planner's list was as new as the store's.
    pub list_age: Millis,
    /// Version of the planner's routing.
    pub routing: u64,
    /// How long ago that was the newest one in the store.
    pub routing_age: Millis,
    /// Routers whose demand is counted below.
    pub told: u64,
    /// What those routers are asked for in a second, by model.
    pub demand: Vec<ModelDemand>,
    /// What has changed in the list, with the position by which it had.
    pub news: Vec<(StorePosition, EntryNews)>,
}
