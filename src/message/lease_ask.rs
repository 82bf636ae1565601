use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::types::{GroupId, GroupRole, Millis, ModelKind};

/// A leader's request for a member's presence lease, with what the member has to load.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseAsk {
    /// Group of the leader.
    pub group: GroupId,
    /// Epoch of the group.
    pub epoch: u64,
    /// Number of the leader's round of requests; echoed in the reply.
    pub round: u64,
    /// Duration of the lease, in milliseconds.
    pub lease_ms: Millis,
    /// Rank of the member in the group.
    pub rank: u32,
    /// Number of members of the group.
    pub size: u32,
    /// Model to load.
    pub model: Arc<str>,
    /// Version of the model.
    pub version: Arc<str>,
    /// Engine or plain service.
    pub kind: ModelKind,
    /// Role of the group.
    pub role: GroupRole,
    /// Adapters to load with the model.
    pub adapters: Vec<String>,
}
