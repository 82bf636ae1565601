use super::RunResult;
use crate::message::RunId;

/// What an endpoint answers to its agent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum EndpointEvent {
    /// A load order has ended.
    Loaded {
        /// Its fence.
        epoch: u64,
        /// Whether the endpoint has loaded.
        ok: bool,
    },
    /// The next piece of a run.
    Piece {
        /// The run.
        run: RunId,
        /// The text.
        text: String,
    },
    /// A run has ended.
    Ended {
        /// The run.
        run: RunId,
        /// How.
        result: RunResult,
    },
    /// Load of the endpoint, reported with a lag.
    Status {
        /// Requests it runs at once.
        slots: u32,
    },
}
