use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::digest_part::MAX_UPDATE_BYTES;
use super::encoded_size::encoded_size;
use crate::types::{EndpointEntry, GroupSeat, InstanceId};

/// An endpoint update: a change of the endpoint list that affects where requests may go.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EndpointUpdate {
    /// An endpoint is new in the list, or has restarted.
    Listed(InstanceId, EndpointEntry),
    /// A listed endpoint has become or ceased to be the head of an open group, is about to
    /// leave, or has become cold or warm.
    Changed {
        /// The endpoint.
        id: InstanceId,
        /// When it last started, in Unix milliseconds; absent if the platform doesn't tell.
        born: Option<u64>,
        /// Number of heartbeats since then.
        beats: u64,
        /// Whether it is about to leave.
        leaving: bool,
        /// How much longer it is cold, in milliseconds.
        #[serde(default)]
        cold_ms: u64,
        /// Model that it has loaded.
        model: Option<Arc<str>>,
        /// Its seat in a group.
        seat: Option<GroupSeat>,
    },
    /// The process of an endpoint that started at `born` has announced that it is leaving.
    Leaving {
        /// The endpoint.
        id: InstanceId,
        /// When the process started, in Unix milliseconds; absent if the platform doesn't tell.
        born: Option<u64>,
    },
    /// An endpoint is no longer in the list.
    Gone(InstanceId),
}

/// Upper bound for the encoded size of the position that precedes an update in a digest.
const POSITION_BYTES: usize = 33;

impl EndpointUpdate {
    /// The update that other routers need when the entry of a listed endpoint changes; none
    /// if the change doesn't affect where requests go.
    pub(super) fn of(
        id: &InstanceId,
        before: &EndpointEntry,
        entry: &EndpointEntry,
    ) -> Option<Self> {
        if before.born != entry.born {
            return Some(EndpointUpdate::Listed(id.clone(), entry.clone()));
        }
        let routed_by = |e: &EndpointEntry| (e.open_epoch(), e.leaving, e.cold_ms > 0);
        (routed_by(before) != routed_by(entry)).then(|| Self::changed(id, entry))
    }

    /// The fields of an entry that affect where requests go.
    pub(super) fn changed(id: &InstanceId, entry: &EndpointEntry) -> Self {
        EndpointUpdate::Changed {
            id: id.clone(),
            born: entry.born,
            beats: entry.beats,
            leaving: entry.leaving,
            cold_ms: entry.cold_ms,
            model: entry.model.clone(),
            seat: entry.seat.clone(),
        }
    }

    /// The endpoint's id.
    pub fn id(&self) -> &InstanceId {
        match self {
            EndpointUpdate::Listed(id, _)
            | EndpointUpdate::Changed { id, .. }
            | EndpointUpdate::Leaving { id, .. }
            | EndpointUpdate::Gone(id) => id,
        }
    }

    /// Upper bound for its encoded size in a digest, in bytes. One that can't be encoded is too
    /// large for any digest.
    pub(super) fn bytes(&self) -> usize {
        encoded_size(self).unwrap_or(MAX_UPDATE_BYTES) + POSITION_BYTES
    }
}
