use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::types::{InstanceId, Millis, SeatState};

/// A group that is being formed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Forming {
    /// Its epoch.
    pub epoch: u64,
    /// Its service.
    pub service: Arc<str>,
    /// Its fabric domain.
    pub domain: Arc<str>,
    /// Its model.
    pub model: Arc<str>,
    /// Its members, the head first.
    pub members: Vec<InstanceId>,
    /// Members that have taken the order to join.
    pub taken: BTreeSet<InstanceId>,
    /// What members told of this place themselves, where the list lags.
    pub seen: BTreeMap<InstanceId, SeatState>,
    /// When the orders to join were last given.
    pub asked: Millis,
    /// When it was begun.
    pub since: Millis,
    /// When it is given up.
    pub limit: Millis,
    /// Whether another planner began it, and may have told the head to open.
    pub adopted: bool,
    /// When the head was last told to open.
    pub opened: Option<Millis>,
}
