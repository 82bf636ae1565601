use crate::types::{GroupRole, Millis, ModelKind};
use std::sync::Arc;

/// Order to load one member's part of a model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LoadOrder {
    /// Fence.
    pub epoch: u64,
    /// Model name.
    pub model: Arc<str>,
    /// Version.
    pub version: Arc<str>,
    /// Engine or plain service.
    pub kind: ModelKind,
    /// Role of the group.
    pub role: GroupRole,
    /// Adapters.
    pub adapters: Vec<String>,
    /// Rank of this member.
    pub rank: u32,
    /// Number of members.
    pub size: u32,
    /// The order may not be sent after this time on the own clock.
    pub valid_until: Millis,
}
