use std::sync::Arc;

use super::{Fingerprint, Turn};
use crate::types::{InstanceId, Millis, RouteSpec};

/// Part of the objective, as its inverse, after which a request that still waits counts
/// as late: the rest is what the way there and the first token take.
const LATE_PART: Millis = 6;

/// A caller's request that has no final answer yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Flight {
    /// The caller's id of the request, for logs.
    pub label: String,
    /// What it has in common with the same request sent again.
    pub fingerprint: Fingerprint,
    /// Its route.
    pub route: Arc<RouteSpec>,
    /// Service that it goes to.
    pub service: Arc<str>,
    /// Model that is asked for.
    pub model: Option<Arc<str>>,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of the answer, guessed.
    pub answer: u32,
    /// Client account.
    pub account: Option<Arc<str>>,
    /// Rank; 0 comes first.
    pub priority: u8,
    /// Whose turn it is among others.
    pub turn: Turn,
    /// Until when it may wait for an endpoint at the longest.
    pub held: Millis,
    /// When it arrived.
    pub arrived: Millis,
    /// When the caller gives up, or the route's time is over.
    pub deadline: Millis,
    /// Endpoints that it was sent to, with the epoch of their groups: an endpoint
    /// in another group is another one.
    pub tried: Vec<(InstanceId, u64)>,
    /// Sends that may have run.
    pub runs: u32,
    /// The run that is awaited.
    pub run: Option<Run>,
    /// Whether the head of a stream has gone to the caller.
    pub headed: bool,
    /// Last event that the caller has.
    pub last_event: Option<u64>,
    /// Time until the answer began, in milliseconds.
    pub first: Millis,
    /// Longest pause between two events that went to the caller, in milliseconds.
    pub paused: Millis,
    /// When an event last went to the caller.
    pub moved: Millis,
}

impl Flight {
    /// Whether the caller may be told that the request has not run: no endpoint can have
    /// run it. That it may be repeated makes no difference, as the word has to be true.
    pub fn promises(&self) -> bool {
        self.runs == 0
    }

    /// Whether it has waited for so long that its answer will hardly begin in time.
    pub(super) fn is_late(&self, now: Millis) -> bool {
        let left = self.route.target_ms / LATE_PART;
        self.turn == Turn::Fresh && now >= self.arrived + left
    }
}

/// A run that is awaited.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Run {
    /// Its number.
    pub id: u64,
    /// Where it runs.
    pub at: InstanceId,
    /// Epoch of the group there; 0 for a plain service.
    pub epoch: u64,
    /// When it was sent.
    pub since: Millis,
    /// Whether the endpoint has begun to answer.
    pub begun: bool,
    /// Whether an event has come.
    pub moved: bool,
}
