use super::RunResult;
use crate::message::RunId;

/// An event that an endpoint reports to its agent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum EndpointEvent {
    /// A load order has succeeded or failed.
    Loaded {
        /// Epoch of the order.
        epoch: u64,
        /// Whether it succeeded.
        ok: bool,
    },
    /// The next piece of a run's answer.
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
        /// How it ended.
        result: RunResult,
    },
    /// Capacity of the endpoint, reported with a lag.
    Status {
        /// Number of requests that it runs at once.
        slots: u32,
    },
}
