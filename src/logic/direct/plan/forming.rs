use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::types::{InstanceId, Millis, SeatState};

/// A group that is being formed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FormingGroup {
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
    /// Members that show a seat in this group, and so have accepted the order to join.
    pub accepted: BTreeSet<InstanceId>,
    /// Seat states that members have reported themselves, as the list may lag behind.
    pub reported: BTreeMap<InstanceId, SeatState>,
    /// When orders to join were last sent.
    pub ordered_at: Millis,
    /// When forming it began.
    pub started_at: Millis,
    /// When it is given up if it isn't open.
    pub deadline: Millis,
    /// Whether another planner began it, and may have ordered the head to open.
    pub adopted: bool,
    /// When the head was last ordered to open, if it was.
    pub open_sent: Option<Millis>,
}
