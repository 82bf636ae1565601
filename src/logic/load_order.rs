use crate::types::{GroupRole, Millis, ModelKind};
use std::sync::Arc;

/// Order to load one member's part of a model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LoadOrder {
    /// Epoch of the group; the endpoint refuses orders of older ones.
    pub epoch: u64,
    /// Model name.
    pub model: Arc<str>,
    /// Model version.
    pub version: Arc<str>,
    /// Engine or plain service.
    pub kind: ModelKind,
    /// Role of the group.
    pub role: GroupRole,
    /// Names of the adapters to load with the model.
    pub adapters: Vec<String>,
    /// Rank of this member in the group.
    pub rank: u32,
    /// Number of members of the group.
    pub size: u32,
    /// Time on the local monotonic clock from which on the order may no longer be sent, in
    /// milliseconds.
    pub valid_until: Millis,
}
