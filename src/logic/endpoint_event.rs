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

/// How a run ended at the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RunResult {
    /// Answered in full with this HTTP status.
    Complete(u16),
    /// Stopped by a cancel order.
    Cancelled,
    /// Never sent, or refused by the endpoint's fence: it didn't run.
    NotRun,
    /// The connection broke or timed out after the order was sent.
    Broken,
}
