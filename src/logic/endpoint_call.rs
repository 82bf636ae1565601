use super::{LoadOrder, StartOrder};

use crate::message::RunId;

/// An order from an agent to its endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum EndpointCall {
    /// Load this member's part of a model.
    Load(Box<LoadOrder>),
    /// Start or resume a request.
    Start(Box<StartOrder>),
    /// Stop a request.
    Cancel {
        /// The run.
        run: RunId,
        /// Epoch of the group; the endpoint refuses orders of older ones.
        epoch: u64,
    },
}
