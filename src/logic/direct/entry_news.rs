use serde::{Deserialize, Serialize};

use crate::types::{EndpointEntry, InstanceId};

/// A change of the list that decides where requests may go.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EntryNews {
    /// An endpoint is new, begins or stops to head a group, or is about to leave.
    Listed(InstanceId, EndpointEntry),
    /// The list no longer names an endpoint.
    Gone(InstanceId),
}

/// Bytes that an entry takes in a datagram: a test holds an entry with long names
/// against it.
const ENTRY_BYTES: usize = 280;

/// Bytes that a name takes beside its frame.
const GONE_BYTES: usize = 40;

impl EntryNews {
    /// Whether others should hear of an entry that was another one before.
    pub(super) fn decisive(before: &EndpointEntry, entry: &EndpointEntry) -> bool {
        let deciding = |e: &EndpointEntry| (e.open_epoch(), e.leaving);
        deciding(before) != deciding(entry)
    }

    /// The endpoint.
    pub fn id(&self) -> &InstanceId {
        match self {
            EntryNews::Listed(id, _) | EntryNews::Gone(id) => id,
        }
    }

    /// Most bytes that it takes in a datagram.
    pub(super) fn bytes(&self) -> usize {
        match self {
            EntryNews::Listed(..) => ENTRY_BYTES,
            EntryNews::Gone(_) => GONE_BYTES,
        }
    }
}
