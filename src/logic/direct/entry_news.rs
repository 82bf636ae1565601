use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::types::{EndpointEntry, GroupSeat, InstanceId};

/// The part of an entry of the list that decides whether requests go there.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EntryNews {
    /// The endpoint.
    pub id: InstanceId,
    /// Heartbeats so far: of two words on one endpoint the one with more is newer.
    pub beats: u64,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Model that it holds.
    pub model: Option<Arc<str>>,
    /// Its place in a group.
    pub seat: Option<GroupSeat>,
}

impl EntryNews {
    /// What others should hear of a changed entry, if anything.
    pub(super) fn of(
        id: &InstanceId,
        before: &EndpointEntry,
        entry: &EndpointEntry,
    ) -> Option<Self> {
        let decisive = |e: &EndpointEntry| (e.open_epoch(), e.leaving);
        (decisive(before) != decisive(entry)).then(|| Self {
            id: id.clone(),
            beats: entry.beats,
            leaving: entry.leaving,
            model: entry.model.clone(),
            seat: entry.seat.clone(),
        })
    }

    /// The entry that it makes of an older one; absent where it isn't newer.
    pub(super) fn onto(self, older: &EndpointEntry) -> Option<EndpointEntry> {
        (self.beats > older.beats).then(|| EndpointEntry {
            beats: self.beats,
            leaving: self.leaving,
            model: self.model,
            seat: self.seat,
            ..older.clone()
        })
    }
}
