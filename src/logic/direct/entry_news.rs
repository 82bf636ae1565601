use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::types::{EndpointEntry, GroupSeat, InstanceId};

/// A change of the list that decides where requests may go.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EntryNews {
    /// An endpoint is new.
    Listed(InstanceId, EndpointEntry),
    /// An endpoint that was listed before begins or stops to head a group, or is about to
    /// leave.
    Changed {
        /// The endpoint.
        id: InstanceId,
        /// When its life began, in Unix milliseconds.
        born: Option<u64>,
        /// Heartbeats so far.
        beats: u64,
        /// Whether it is about to leave.
        leaving: bool,
        /// Model that it holds.
        model: Option<Arc<str>>,
        /// Its place in a group.
        seat: Option<GroupSeat>,
    },
    /// The list no longer names an endpoint.
    Gone(InstanceId),
}

/// Bytes that an entry takes in a datagram: a test holds an entry with long names
/// against it.
const ENTRY_BYTES: usize = 320;

/// Bytes that a change takes, likewise.
const CHANGE_BYTES: usize = 210;

/// Bytes that a name takes beside its frame.
const GONE_BYTES: usize = 64;

impl EntryNews {
    /// What others should hear of an endpoint that was listed with another entry, if
    /// anything.
    pub(super) fn of(
        id: &InstanceId,
        before: &EndpointEntry,
        entry: &EndpointEntry,
    ) -> Option<Self> {
        if before.born != entry.born {
            return Some(EntryNews::Listed(id.clone(), entry.clone()));
        }
        let deciding = |e: &EndpointEntry| (e.open_epoch(), e.leaving);
        (deciding(before) != deciding(entry)).then(|| Self::changed(id, entry))
    }

    /// What decides of an entry.
    pub(super) fn changed(id: &InstanceId, entry: &EndpointEntry) -> Self {
        EntryNews::Changed {
            id: id.clone(),
            born: entry.born,
            beats: entry.beats,
            leaving: entry.leaving,
            model: entry.model.clone(),
            seat: entry.seat.clone(),
        }
    }

    /// The endpoint.
    pub fn id(&self) -> &InstanceId {
        match self {
            EntryNews::Listed(id, _) | EntryNews::Changed { id, .. } | EntryNews::Gone(id) => id,
        }
    }

    /// Most bytes that it takes in a datagram.
    pub(super) fn bytes(&self) -> usize {
        match self {
            EntryNews::Listed(..) => ENTRY_BYTES,
            EntryNews::Changed { .. } => CHANGE_BYTES,
            EntryNews::Gone(_) => GONE_BYTES,
        }
    }
}
