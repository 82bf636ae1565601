use std::collections::BTreeMap;
use std::sync::Arc;

use crate::types::{InstanceId, SeatState};

/// A group as the list shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupView {
    /// Its epoch.
    pub epoch: u64,
    /// Its service.
    pub service: Arc<str>,
    /// Its fabric domain.
    pub domain: Arc<str>,
    /// Its model, if the entry of any member shows it.
    pub model: Option<Arc<str>>,
    /// Its members that aren't lost, by rank.
    pub seats: BTreeMap<usize, GroupMember>,
}

/// A member of a group, as its entry in the list shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupMember {
    /// Instance id.
    pub id: InstanceId,
    /// State of its seat.
    pub state: SeatState,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Whether the list contains it now.
    pub listed: bool,
}

impl GroupView {
    /// Whether every rank of a group of `size` members is present.
    pub fn complete(&self, size: usize) -> bool {
        (0..size).all(|rank| self.seats.contains_key(&rank))
    }

    /// Whether every member that is present has loaded the model.
    pub fn loaded(&self) -> bool {
        self.seats.values().all(|s| s.state != SeatState::Joining)
    }

    /// The member that takes requests.
    pub fn head(&self) -> Option<&GroupMember> {
        self.seats.get(&0)
    }
}
