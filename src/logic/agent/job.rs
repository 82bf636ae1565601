use crate::message::{RunId, RunOrder};
use crate::types::{InstanceId, Millis};

/// A request at an agent, waiting or running.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Job {
    /// The order that brought it.
    pub order: RunOrder,
    /// 0 goes first.
    pub priority: u8,
    /// Whether it may be paused for a more urgent one.
    pub preempt: bool,
    /// When its caller gives up, on the own clock.
    pub deadline: Millis,
    /// When it arrived.
    pub since: Millis,
    /// When it was first handed to the endpoint.
    pub first_start: Option<Millis>,
    /// Pieces produced so far, counted from the request's start.
    pub pieces: u64,
    /// Their text.
    pub text: String,
    /// Routers that get its pieces, each with its own attempt.
    pub watchers: Vec<(InstanceId, RunId)>,
    /// Whether it has been handed to the endpoint before.
    pub started: bool,
}
