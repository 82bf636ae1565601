use std::sync::Arc;

use super::{Fingerprint, Precedence};
use crate::types::{InstanceId, Millis, RouteSpec};

/// A request counts as late once it has waited for its objective divided by this. The rest
/// of the objective is needed to reach the endpoint and for the first token.
const LATE_DIVISOR: Millis = 6;

/// In-flight request: a caller's request that has no final answer yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct InFlightRequest {
    /// Request id from the caller, for logs.
    pub label: String,
    /// Identifies the request if the caller sends it again.
    pub fingerprint: Fingerprint,
    /// Segments of the prompt that other requests may share.
    pub segments: Vec<Fingerprint>,
    /// Its route.
    pub route: Arc<RouteSpec>,
    /// Service that it goes to.
    pub service: Arc<str>,
    /// Requested model.
    pub model: Option<Arc<str>>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Estimated tokens of the answer.
    pub answer_tokens: u32,
    /// Client account.
    pub account: Option<Arc<str>>,
    /// Priority; 0 is served first.
    pub priority: u8,
    /// Its precedence over other requests that wait.
    pub precedence: Precedence,
    /// Whether its caller was refused before and has come back at the time that it was told.
    pub kept_appointment: bool,
    /// Time until which it may wait for an endpoint.
    pub wait_until: Millis,
    /// Time of its arrival.
    pub arrived: Millis,
    /// Time at which the caller or the route's time limit ends the request.
    pub deadline: Millis,
    /// Endpoints that it was sent to, in order, each with the epoch of its group at that
    /// time: an endpoint in another group counts as a different one.
    pub tried: Vec<(InstanceId, u64)>,
    /// Runs that an endpoint may have begun: sends except those known not to have run.
    pub runs: u32,
    /// The current run.
    pub run: Option<Run>,
    /// Runs that it was moved from and that may still go on; empty without a current run.
    pub earlier_runs: Vec<Run>,
    /// Time before which it isn't sent again.
    pub resend_at: Millis,
    /// Why it waits to be sent again, if a retry has yet to be spent on that.
    pub pending_resend: Option<&'static str>,
    /// Whether the answer to its last run broke off.
    pub answer_broke: bool,
    /// Whether an endpoint's failure is kept, which the caller gets if no other endpoint answers.
    pub failure_kept: bool,
    /// Whether the head of a stream was sent to the caller.
    pub head_sent: bool,
    /// Id of the last stream event that the caller has.
    pub last_event: Option<u64>,
    /// Time from arrival until the head of a stream was sent to the caller, in milliseconds.
    pub first_ms: Millis,
    /// Longest pause between two parts of a stream sent to the caller, in milliseconds.
    pub longest_pause: Millis,
    /// Time at which the head or an event was last sent to the caller; its arrival before.
    pub event_at: Millis,
}

impl InFlightRequest {
    /// What may crash the endpoints that run it: the request itself, and the segments of its prompt.
    pub fn causes(&self) -> impl Iterator<Item = &Fingerprint> {
        std::iter::once(&self.fingerprint).chain(&self.segments)
    }

    /// Its runs: the current one and those that it was moved from.
    pub fn all_runs(&self) -> impl Iterator<Item = &Run> {
        self.run.iter().chain(&self.earlier_runs)
    }

    /// Whether the request has a fingerprint or has a segment with it.
    pub fn has_cause(&self, cause: &Fingerprint) -> bool {
        self.causes().any(|own| own == cause)
    }

    /// Whether its caller has a part of its stream: an endpoint answered it, so that it isn't the cause of
    /// a crash.
    pub fn is_partly_delivered(&self) -> bool {
        self.head_sent && self.last_event.is_some()
    }

    /// Whether no endpoint can have run the request, so that the answer to the caller may say
    /// so. This has to be true also of requests that may be repeated.
    pub fn has_not_run(&self) -> bool {
        self.runs == 0
    }

    /// Whether it has waited so long that its answer is unlikely to begin within the
    /// objective.
    pub(super) fn is_late(&self, now: Millis) -> bool {
        let allowed = self.route.target_ms / LATE_DIVISOR;
        self.precedence == Precedence::Fresh && now >= self.arrived + allowed
    }
}

/// A run: one send of a request to an endpoint, whose answer is not complete yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Run {
    /// Number of the run.
    pub id: u64,
    /// The endpoint.
    pub endpoint: InstanceId,
    /// Epoch of the endpoint's group when it was sent; 0 for a plain service.
    pub epoch: u64,
    /// Time at which it was sent.
    pub sent_at: Millis,
    /// Whether it couldn't begin within the request's objective any more when it was sent.
    pub late: bool,
    /// Expected time until its first event by the endpoint's load when it was sent, in
    /// milliseconds.
    pub expected: Millis,
    /// Whether the endpoint has begun to answer.
    pub begun: bool,
    /// Whether a stream event has arrived.
    pub has_event: bool,
    /// Whether it counts among the first runs after a hold-off of the endpoint.
    pub after_hold_off: bool,
}
