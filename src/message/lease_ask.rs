use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::types::{GroupId, GroupRole, Millis, ModelKind};

/// A leader's request for a presence lease, with what the member shall load.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseAsk {
    /// The group.
    pub group: GroupId,
    /// Its epoch.
    pub epoch: u64,
    /// Counts the leader's rounds; echoed in the answer.
    pub round: u64,
    /// Length of the lease, in milliseconds.
    pub lease_ms: Millis,
    /// Rank of the asked member.
    pub rank: u32,
    /// Number of members.
    pub size: u32,
    /// Model to load.
    pub model: Arc<str>,
    /// Its version.
    pub version: Arc<str>,
    /// Engine or plain service.
    pub kind: ModelKind,
    /// Role of the group.
    pub role: GroupRole,
    /// Adapters to load.
    pub adapters: Vec<String>,
}
