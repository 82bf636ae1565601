/// How a run ended at the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RunResult {
    /// Answered in full, with this HTTP status.
    Complete(u16),
    /// Stopped by a cancel order.
    Cancelled,
    /// The run was never sent, or the endpoint refused its epoch: it didn't run.
    NotRun,
    /// The connection broke or timed out after the order was sent.
    Broken,
}
