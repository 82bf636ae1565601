use crate::message::RunId;
use crate::types::{Millis, ModelKind};
use std::sync::Arc;

/// Order to start a request, or to resume it after `offset` pieces of its answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StartOrder {
    /// The run.
    pub run: RunId,
    /// Epoch of the group; the endpoint refuses orders of older ones.
    pub epoch: u64,
    /// Engine or plain service.
    pub kind: ModelKind,
    /// Request path at the endpoint.
    pub path: Arc<str>,
    /// Request body.
    pub body: Arc<str>,
    /// Number of pieces that were delivered already.
    pub offset: u64,
    /// Text of the pieces that were delivered already.
    pub prefix: String,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Time on the local monotonic clock from which on the order may no longer be sent, in
    /// milliseconds.
    pub valid_until: Millis,
}
