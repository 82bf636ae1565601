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
    /// Its model, where any member tells it.
    pub model: Option<Arc<str>>,
    /// Its members that aren't lost, by rank.
    pub seats: BTreeMap<usize, Seat>,
}

/// A member of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seat {
    /// The member.
    pub id: InstanceId,
    /// How far it is.
    pub state: SeatState,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Whether the list names it now.
    pub listed: bool,
}

impl GroupView {
    /// Whether all of `size` members are there.
    pub fn complete(&self, size: usize) -> bool {
        (0..size).all(|rank| self.seats.contains_key(&rank))
    }

    /// Whether every member that is there has loaded.
    pub fn loaded(&self) -> bool {
        self.seats.values().all(|s| s.state != SeatState::Joining)
    }

    /// The member that takes requests.
    pub fn head(&self) -> Option<&Seat> {
        self.seats.get(&0)
    }
}
