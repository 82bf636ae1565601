//! Sends a request to an endpoint, and retries it at another one after a failure.

use super::admission::{pool, queue};
use super::limits::hold_off;
use super::{
    choose, crashes, finish, moves, peers, resume, returns, DirectEffect, DirectState, Fingerprint,
    InFlightRequest, RetryBounds, RetryWindow, Run, RunRequest,
};
use crate::logic::router::Metric;
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::{Millis, RouteKind};

/// Highest priority value that an endpoint accepts; 0 is served first.
const MAX_PRIORITY: u8 = 9;

/// Priority at the endpoint: that of the request, plus one unless its stream is resumed.
fn endpoint_priority(flight: &InFlightRequest) -> u8 {
    (flight.priority + flight.precedence as u8).min(MAX_PRIORITY)
}

/// Longest time from the choice of an endpoint until the request is written to its connection. What
/// the endpoint says of itself in the meantime isn't known to the choice.
const MAX_UNSENT_MS: Millis = 400;

/// Shortest pause between two sends of a stream that endpoints refuse, and how often it doubles.
pub(super) const MIN_RESEND_PAUSE_MS: Millis = 50;
const MAX_RESEND_DOUBLINGS: u32 = 4;

/// Sends a request to the best endpoint, enqueues it, or ends it.
pub(super) fn send_or_wait(state: &mut DirectState, now: Millis, id: u64, out: &mut Vec<Effect>) {
    let Some(flight) = state.in_flight.get(&id) else {
        return;
    };
    if now >= flight.deadline {
        return finish::time_out(state, now, id, out);
    }
    if pool::is_active(state, &flight.service) {
        return pool::send_or_wait(state, now, id, out);
    }
    if !try_send(state, now, id, out) {
        queue::wait_or_give_up(state, now, id, out);
    }
}

/// Sends a request to the best endpoint; false if none can take it now, if it isn't to be sent again yet,
/// or if its deadline has passed.
pub(super) fn try_send(
    state: &mut DirectState,
    now: Millis,
    id: u64,
    out: &mut Vec<Effect>,
) -> bool {
    let can_send = |f: &&InFlightRequest| (f.resend_at..f.deadline).contains(&now);
    let Some(flight) = state.in_flight.get(&id).filter(can_send).cloned() else {
        return false;
    };
    let Some(to) = choose::pick(state, now, &flight) else {
        return false;
    };
    if !resume::spend_pending_retry(state, now, id, out) {
        return false;
    }
    let late = queue::on_sent(state, now, id, out);
    returns::on_sent(state, now, id, &to);
    let spec = state.routing.as_ref();
    let spec = spec.and_then(|r| r.services.get(&flight.service));
    let engine = spec.and_then(|s| s.engine.as_ref());
    let prompt = u64::from(flight.prompt_tokens);
    let expected = state.endpoints.get(&to);
    let expected = expected.map_or(0, |v| choose::expected_us(v, prompt, engine) / 1_000);
    let run = state.next_number();
    let version = state.routing.as_ref().map_or(0, |r| r.version);
    let Some(view) = state.endpoints.get_mut(&to) else {
        return false;
    };
    if view.running == 0 {
        view.active_at = view.active_at.max(now);
    }
    for share in view.shares_mut() {
        share.on_sent(now);
    }
    let after_hold_off = hold_off::on_sent(view);
    view.running += 1;
    view.unread_tokens += u64::from(flight.prompt_tokens);
    let (addr, epoch) = (view.entry.addr, view.epoch());
    let event = LogEvent::new(LogCode::RequestSent)
        .with("request", &flight.label)
        .with("fingerprint", flight.fingerprint)
        .with("segments", Fingerprint::join(&flight.segments))
        .with("endpoint", &to)
        .with("running", view.running)
        .with("turn", format!("{:?}", flight.precedence))
        .with("waited", now.saturating_sub(flight.event_at))
        .with("limit", view.limit)
        .with("beat_age", now.saturating_sub(view.heartbeat_at))
        .with("version", version);
    out.push(Effect::Log(event));
    out.push(Effect::Direct(DirectEffect::Run(Box::new(RunRequest {
        run,
        request: id,
        to: to.clone(),
        addr,
        wait_ms: flight.deadline - now,
        account: flight.account.clone(),
        priority: endpoint_priority(&flight),
        last_event: flight.last_event,
        stream: flight.route.kind == RouteKind::Streaming,
        avoid_stale: !flight.route.repeatable(),
        send_by: now + MAX_UNSENT_MS,
    }))));
    state.runs.insert(run, id);
    if let Some(flight) = state.in_flight.get_mut(&id) {
        flight.tried.push((to.clone(), epoch));
        flight.runs += 1;
        flight.answer_broke = false;
        flight.earlier_runs.extend(flight.run.take());
        flight.run = Some(Run {
            id: run,
            endpoint: to,
            epoch,
            sent_at: now,
            late,
            expected,
            begun: false,
            has_event: false,
            after_hold_off,
        });
    }
    true
}

/// Pause before a stream is sent again of whose sends so many were refused: the first one is followed at
/// once by another, and the pause doubles with each further one.
fn resend_pause(refusals: u32) -> Millis {
    match refusals {
        0 | 1 => 0,
        _ => MIN_RESEND_PAUSE_MS << (refusals - 2).min(MAX_RESEND_DOUBLINGS),
    }
}

/// What is known of a send that has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FailedSend {
    /// Nothing was sent. Another send is the first to reach an endpoint in its place, and costs no retry.
    NotSent,
    /// The endpoint hasn't run the request.
    NotRun,
    /// The endpoint may have run it.
    MayHaveRun,
}

/// Handles the end of a request's run that has failed. If it has another run, that one may go on;
/// otherwise it is sent again if [`reserve_retry`] allows it, and given up if not.
pub(super) fn retry(
    state: &mut DirectState,
    now: Millis,
    id: u64,
    failed: FailedSend,
    why: &'static str,
    out: &mut Vec<Effect>,
) {
    let may_have_run = failed == FailedSend::MayHaveRun;
    let Some(flight) = state.in_flight.get_mut(&id) else {
        return;
    };
    if !may_have_run {
        flight.runs = flight.runs.saturating_sub(1);
        if flight.head_sent || !flight.earlier_runs.is_empty() {
            let refusals = (flight.tried.len() as u32).saturating_sub(flight.runs);
            flight.resend_at = now + resend_pause(refusals);
        }
    }
    if moves::fall_back(state, id, why, out) {
        return;
    }
    let is_begun = state.in_flight.get(&id).is_some_and(|f| f.head_sent);
    if is_begun {
        return resume::resume_or_give_up(state, now, id, failed, why, out);
    }
    let reserved = match failed {
        FailedSend::NotSent => check_retry(state, now, id, may_have_run),
        _ => reserve_retry(state, now, id, may_have_run),
    };
    match reserved {
        Ok(()) => send_again(state, now, id, why, out),
        Err(no_retry) => {
            state.retries_unpaid += u64::from(matches!(no_retry, NoRetry::Budget));
            finish::give_up(state, now, id, no_retry.reason(why), out)
        }
    }
}

/// Why a request can't be sent again.
pub(super) enum NoRetry {
    /// Endpoints have crashed under it, or may have.
    Crashes(&'static str),
    /// Its route doesn't allow a further send.
    Route,
    /// The retry budget has none left.
    Budget,
}

impl NoRetry {
    /// Reason of giving up a request whose last run failed because of `why`.
    pub(super) fn reason(self, why: &'static str) -> &'static str {
        match self {
            NoRetry::Crashes(crashes) => crashes,
            NoRetry::Route | NoRetry::Budget => why,
        }
    }
}

/// Checks whether a request's route, the number of its sends and its crash record allow a retry. A
/// stream that has begun may be refused any number of times.
pub(super) fn check_retry(
    state: &DirectState,
    now: Millis,
    id: u64,
    may_have_run: bool,
) -> Result<(), NoRetry> {
    let Some(flight) = state.in_flight.get(&id) else {
        return Err(NoRetry::Route);
    };
    if may_have_run && crashes::is_risky(state, flight) {
        return Err(NoRetry::Crashes(crashes::WHY_CRASHES));
    }
    if crashes::is_withheld(state, now, id) {
        return Err(NoRetry::Crashes(crashes::WHY_HELD));
    }
    let repeatable = flight.route.repeatable();
    let allowed = flight.runs < flight.route.attempts && (!may_have_run || repeatable);
    let below_max_sends =
        flight.head_sent || flight.tried.len() as u32 <= flight.route.attempts + 1;
    match allowed && below_max_sends {
        true => Ok(()),
        false => Err(NoRetry::Route),
    }
}

/// Spends a retry on a request if [`check_retry`] and the retry budget allow it; the send has to follow.
pub(super) fn reserve_retry(
    state: &mut DirectState,
    now: Millis,
    id: u64,
    may_have_run: bool,
) -> Result<(), NoRetry> {
    check_retry(state, now, id, may_have_run)?;
    let service = state.in_flight.get(&id).map(|f| f.service.clone());
    if service.is_some_and(|service| spend_retry(state, now, &service)) {
        return Ok(());
    }
    Err(NoRetry::Budget)
}

/// Sends a request again for which a retry was reserved.
pub(super) fn send_again(
    state: &mut DirectState,
    now: Millis,
    id: u64,
    why: &'static str,
    out: &mut Vec<Effect>,
) {
    log_resend(state, now, id, why, out);
    send_or_wait(state, now, id, out);
}

/// Logs and counts a retry that has been spent.
pub(super) fn log_resend(
    state: &DirectState,
    now: Millis,
    id: u64,
    why: &'static str,
    out: &mut Vec<Effect>,
) {
    let Some(flight) = state.in_flight.get(&id) else {
        return;
    };
    let window = state.retries.get(&flight.service);
    let (requests, retries) = window.map_or((0, 0), RetryWindow::counts);
    let event = LogEvent::new(LogCode::RequestResent)
        .with("request", &flight.label)
        .with("why", why)
        .with("runs", flight.runs)
        .with("event", flight.last_event.unwrap_or(0))
        .with("retries", retries)
        .with("requests", requests)
        .with("age", state.age(now));
    out.push(Effect::Log(event));
    finish::record_metric(flight, Metric::Retry, 1, out);
}

/// Spends a retry of the service's budget; false if the budget has none left.
pub(super) fn spend_retry(
    state: &mut DirectState,
    now: Millis,
    service: &std::sync::Arc<str>,
) -> bool {
    peers::record_routers(state, now);
    let bounds = RetryBounds::new(&state.params, state.router_peak.highest());
    let window = state.retries.entry(service.clone()).or_default();
    let enabled = state.retries_from.is_some_and(|from| now >= from);
    let paid = enabled && window.try_retry(now, &bounds);
    state.retries_paid += u64::from(paid);
    paid
}
