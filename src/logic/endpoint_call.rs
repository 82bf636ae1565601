use std::sync::Arc;

use crate::message::RunId;
use crate::types::{GroupRole, Millis, ModelKind};

/// An order from an agent to its endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum EndpointCall {
    /// Load a model's part.
    Load(Box<LoadOrder>),
    /// Start or resume a request.
    Start(Box<StartOrder>),
    /// Stop a request.
    Cancel {
        /// The run.
        run: RunId,
        /// Fence.
        epoch: u64,
    },
}

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

/// Order to start a request, or to resume it behind `offset` pieces.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StartOrder {
    /// The run.
    pub run: RunId,
    /// Fence.
    pub epoch: u64,
    /// Engine or plain service.
    pub kind: ModelKind,
    /// Path at the endpoint.
    pub path: Arc<str>,
    /// Body.
    pub body: Arc<str>,
    /// Pieces already delivered.
    pub offset: u64,
    /// Their text.
    pub prefix: String,
    /// Priority, 0 first.
    pub priority: u8,
    /// The order may not be sent after this time on the own clock.
    pub valid_until: Millis,
}
