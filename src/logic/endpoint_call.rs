use super::{LoadOrder, StartOrder};

use crate::message::RunId;

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
