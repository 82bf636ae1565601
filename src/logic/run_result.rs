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
