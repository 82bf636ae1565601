//! Sends a request to an endpoint, and retries it at another one after a failure.

use super::admission::{pool, queue};
use super::limits::hold_off;
use super::{
    choose, crashes, finish, moves, peers, returns, DirectEffect, DirectState, Fingerprint,
    InFlightRequest, Mechanism, Precedence, RetryBounds, RetryWindow, Run, RunRequest,
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

/// How long a partly delivered stream waits for a head that resumes it. Groups form again
/// within this time, and callers wait longer.
const RESUME_WAIT_MS: Millis = 1_500;

/// Longest time from the choice of an endpoint until the request is written to its connection. What
/// the endpoint says of itself in the meantime isn't known to the choice.
const MAX_UNSENT_MS: Millis = 400;

/// Shortest pause between two sends of a stream that endpoints refuse, and how often it doubles.
const MIN_RESEND_PAUSE_MS: Millis = 50;
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

/// Sends a request to the best endpoint; false if none can take it now.
pub(super) fn try_send(
    state: &mut DirectState,
    now: Millis,
    id: u64,
    out: &mut Vec<Effect>,
) -> bool {
    let Some(flight) = state.in_flight.get(&id).cloned() else {
        return false;
    };
    let Some(to) = choose::pick(state, now, &flight) else {
        return false;
    };
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

/// Handles the end of a request's run that has failed. If it has another run, that one may go on;
/// otherwise it is sent again if [`reserve_retry`] allows it, and given up if not.
///
/// `may_have_run` is false if the endpoint can't have run it.
pub(super) fn retry(
    state: &mut DirectState,
    now: Millis,
    id: u64,
    may_have_run: bool,
    why: &'static str,
    out: &mut Vec<Effect>,
) {
    let Some(flight) = state.in_flight.get_mut(&id) else {
        return;
    };
    if !may_have_run {
        flight.runs = flight.runs.saturating_sub(1);
        let refusals = (flight.tried.len() as u32).saturating_sub(flight.runs);
        flight.resend_at = now + resend_pause(refusals);
    }
    if moves::fall_back(state, id, why, out) {
        return;
    }
    let why = match reserve_retry(state, now, id, may_have_run) {
        Ok(()) => return send_again(state, now, id, why, out),
        Err(NoRetry::Crashes(why)) => why,
        Err(NoRetry::Route) => why,
        Err(NoRetry::Budget) => {
            state.retries_unpaid += 1;
            why
        }
    };
    finish::give_up(state, now, id, why, out);
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

/// Spends a retry on a request if its route, the number of its sends, its crash record and the retry
/// budget allow it; the send has to follow. A stream that has begun may be refused any number of times.
pub(super) fn reserve_retry(
    state: &mut DirectState,
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
    let service = flight.service.clone();
    if !allowed || !below_max_sends {
        return Err(NoRetry::Route);
    }
    match spend_retry(state, now, &service) {
        true => Ok(()),
        false => Err(NoRetry::Budget),
    }
}

/// Sends a request again for which a retry was reserved.
fn send_again(
    state: &mut DirectState,
    now: Millis,
    id: u64,
    why: &'static str,
    out: &mut Vec<Effect>,
) {
    prepare_resend(state, now, id, why, out);
    send_or_wait(state, now, id, out);
}

/// Prepares a request for being sent again: a stream that has begun goes before others.
pub(super) fn prepare_resend(
    state: &mut DirectState,
    now: Millis,
    id: u64,
    why: &'static str,
    out: &mut Vec<Effect>,
) {
    let waits = state.params.is_enabled(Mechanism::ResumeWait);
    let age = state.age(now);
    let Some(flight) = state.in_flight.get_mut(&id) else {
        return;
    };
    let window = state.retries.get(&flight.service);
    let (requests, retries) = window.map_or((0, 0), RetryWindow::counts);
    if flight.head_sent {
        flight.precedence = Precedence::Resumed;
    }
    if flight.head_sent && waits {
        flight.wait_until = flight.wait_until.max(now + RESUME_WAIT_MS);
    }
    let event = LogEvent::new(LogCode::RequestResent)
        .with("request", &flight.label)
        .with("why", why)
        .with("runs", flight.runs)
        .with("event", flight.last_event.unwrap_or(0))
        .with("retries", retries)
        .with("requests", requests)
        .with("age", age);
    out.push(Effect::Log(event));
    finish::record_metric(flight, Metric::Retry, 1, out);
}

/// Spends a retry of the service's budget; false if the budget has none left.
fn spend_retry(state: &mut DirectState, now: Millis, service: &std::sync::Arc<str>) -> bool {
    peers::record_routers(state, now);
    let bounds = RetryBounds::new(&state.params, state.router_peak.highest());
    let window = state.retries.entry(service.clone()).or_default();
    let enabled = state.retries_from.is_some_and(|from| now >= from);
    let paid = enabled && window.try_retry(now, &bounds);
    state.retries_paid += u64::from(paid);
    paid
}
