use crate::message::RunId;
use crate::types::{Millis, ModelKind};
use std::sync::Arc;

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
