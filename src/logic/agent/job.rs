use crate::message::{RunId, RunOrder};
use crate::types::{InstanceId, Millis};

/// A request at an agent, waiting or running.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Job {
    /// The router's order.
    pub order: RunOrder,
    /// 0 goes first.
    pub priority: u8,
    /// Whether it may be paused for a more urgent request.
    pub preempt: bool,
    /// Its deadline, on the own clock.
    pub deadline: Millis,
    /// When it arrived.
    pub arrived_at: Millis,
    /// When it was first handed to the endpoint.
    pub first_start: Option<Millis>,
    /// Pieces produced so far, counted from the request's start.
    pub pieces: u64,
    /// Their text.
    pub text: String,
    /// Routers that get its pieces and its end, each under the router's own run.
    pub watchers: Vec<(InstanceId, RunId)>,
    /// Whether an earlier run of it was paused, so that it can't be reported as not run.
    pub was_paused: bool,
}
