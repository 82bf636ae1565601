//! Last step of a request: gives the caller exactly one final answer.

use super::admission::{pool, queue};
use super::{
    accept, choose, crashes, demand, endpoints, moves, returns, DirectEffect, DirectRequest,
    DirectState, InFlightRequest, Problem, Refusal,
};
use crate::logic::router::Metric;
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::Millis;

/// Ends a request whose endpoint has answered in full; `last` passes the end of the answer
/// on to the caller. An endpoint that has failed may not have begun it: only a request that `is_served`
/// is no suspect of crashes any more.
pub(super) fn complete(
    state: &mut DirectState,
    now: Millis,
    id: u64,
    is_served: bool,
    last: DirectEffect,
    out: &mut Vec<Effect>,
) {
    moves::cancel_others(state, id, out);
    endpoints::on_served(state, id);
    pool::on_completed(state, now, id);
    endpoints::release_run(state, id);
    let Some(flight) = state.in_flight.remove(&id) else {
        return;
    };
    if is_served {
        crashes::on_answered(state, now, flight.fingerprint, &flight.segments, out);
    }
    out.push(Effect::Direct(last));
    record_completion(&flight, now, out);
}

/// Logs and measures a request whose caller gets an endpoint's answer.
fn record_completion(flight: &InFlightRequest, now: Millis, out: &mut Vec<Effect>) {
    let took = now.saturating_sub(flight.arrived);
    out.push(Effect::Log(
        LogEvent::new(LogCode::RequestCompleted)
            .with("request", &flight.label)
            .with("took", took)
            .with("first", flight.first_ms)
            .with("paused", flight.longest_pause)
            .with("sends", flight.tried.len()),
    ));
    record_metric(flight, Metric::Total, took, out);
}

/// Records a metric of a request under its client account and route.
pub(super) fn record_metric(
    flight: &InFlightRequest,
    metric: Metric,
    value: u64,
    out: &mut Vec<Effect>,
) {
    out.push(Effect::RecordMetric {
        metric,
        account: flight.account.clone().unwrap_or_else(|| "-".into()),
        class: flight.route.name.clone(),
        value,
    });
}

/// A caller is asked to come back within its remaining time divided by this.
const RETRY_AFTER_DIVISOR: u64 = 3;

/// Resolution of the random part of the time to come back.
const JITTER_STEPS: u64 = 1_000;

/// How long before its deadline a request that no endpoint can have run is given up.
const UNSENT_MARGIN_MS: Millis = 60;

/// Time within which a router that has started knows the routing and the endpoint list.
const STARTUP_MS: Millis = 500;

/// Refusal of a request that came before the routing and the endpoint list were known, or while there may
/// be a newer routing, with the time after which the caller should come back; `left` is the time that it
/// has left. Without a time to come back callers return at once, often to another router that has just
/// started, and use up their tries.
pub(super) fn not_yet_problem(state: &mut DirectState, left: Option<Millis>) -> Problem {
    let jitter = state.random_below(JITTER_STEPS);
    let max = left.map_or(STARTUP_MS, |left| {
        STARTUP_MS.min(left / RETRY_AFTER_DIVISOR)
    });
    Problem::NotYet(max * (JITTER_STEPS + jitter) / (2 * JITTER_STEPS))
}

/// Ends a request that no endpoint was found for, or that can't be retried.
pub(super) fn give_up(
    state: &mut DirectState,
    now: Millis,
    id: u64,
    why: &'static str,
    out: &mut Vec<Effect>,
) {
    let jitter = state.random_below(JITTER_STEPS);
    let Some(flight) = state.in_flight.get(&id) else {
        return;
    };
    let may_return = flight.has_not_run() && !flight.head_sent;
    let model = flight.model.clone().filter(|_| may_return);
    let problem = if flight.has_not_run() {
        let max = flight.deadline.saturating_sub(now) / RETRY_AFTER_DIVISOR;
        let min = state.params.again_ms.min(max);
        let usual = min + (max - min) * (JITTER_STEPS + jitter) / (2 * JITTER_STEPS);
        // Before the first endpoint takes requests again it would be refused once more.
        let held = choose::hold_off_end(state, now, flight).map_or(0, |end| {
            let spread = min * jitter / JITTER_STEPS;
            (end - now).saturating_add(spread)
        });
        Problem::NotRun(usual.max(held))
    } else {
        Problem::Unknown
    };
    let problem = match returns::on_refused(state, now, id, out) {
        Some(ms) => Problem::NotRun(ms),
        None => problem,
    };
    if let Some(model) = model {
        demand::count_refusal(state, now, &model);
    }
    fail(state, now, id, problem, why, out);
}

/// Ends a request whose deadline has passed, or is so close that it is given up.
pub(super) fn time_out(state: &mut DirectState, now: Millis, id: u64, out: &mut Vec<Effect>) {
    let why = "its deadline has passed or is too close";
    match state.in_flight.get(&id) {
        Some(f) if f.has_not_run() && !f.head_sent => give_up(state, now, id, why, out),
        _ => fail(state, now, id, Problem::TimedOut, why, out),
    }
}

/// Ends all requests whose answer hasn't begun, as the process exits: their connections would just
/// close.
pub(super) fn end_unanswered(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let unanswered = state.in_flight.iter().filter(|(_, f)| !f.head_sent);
    let ids: Vec<u64> = unanswered.map(|(id, _)| *id).collect();
    for id in ids {
        give_up(state, now, id, "the router exits", out);
    }
    for (_, request) in std::mem::take(&mut state.held_requests) {
        accept::refuse_not_ready(state, &request, out);
    }
}

/// Refusal of a request under which endpoints have crashed and which may be tried after `wait`
/// milliseconds; its caller waits for `left`. It is asked to come back while it still waits: an answer to
/// another request may show sooner that this one is harmless.
pub(super) fn blocked_problem(
    state: &mut DirectState,
    wait: Millis,
    left: Option<Millis>,
) -> Problem {
    let again = state.params.again_ms;
    let spread = state.random_below(again.max(1));
    let max = left.map_or(Millis::MAX, |left| left / RETRY_AFTER_DIVISOR);
    Problem::CrashesEndpoints(wait.max(again).saturating_add(spread).min(max).max(1))
}

/// Ends a request that isn't to be sent as endpoints have crashed under it; it may be tried after `wait`
/// milliseconds.
pub(super) fn end_blocked(
    state: &mut DirectState,
    now: Millis,
    id: u64,
    wait: Millis,
    out: &mut Vec<Effect>,
) {
    let unsent = state.in_flight.get(&id).filter(|f| f.has_not_run());
    let problem = match unsent.map(|f| f.deadline.saturating_sub(now)) {
        Some(left) => blocked_problem(state, wait, Some(left)),
        None => Problem::Unknown,
    };
    fail(state, now, id, problem, crashes::WHY_CRASHES, out);
}

/// Ends a request that has no answer: its caller gets the failure of an endpoint if one is kept, and that
/// of the router otherwise.
fn fail(
    state: &mut DirectState,
    now: Millis,
    id: u64,
    problem: Problem,
    why: &'static str,
    out: &mut Vec<Effect>,
) {
    let is_unanswered = matches!(problem, Problem::Unknown | Problem::TimedOut);
    let has_failure = |f: &InFlightRequest| f.failure_kept && !f.head_sent;
    if !is_unanswered || !state.in_flight.get(&id).is_some_and(has_failure) {
        return finish(state, id, problem, why, out);
    }
    moves::cancel_all(state, id, out);
    queue::remove(state, id);
    if let Some(flight) = state.in_flight.remove(&id) {
        out.push(Effect::Direct(DirectEffect::PassKeptAnswer(id)));
        record_completion(&flight, now, out);
    }
}

fn finish(
    state: &mut DirectState,
    id: u64,
    problem: Problem,
    why: &'static str,
    out: &mut Vec<Effect>,
) {
    moves::cancel_all(state, id, out);
    queue::remove(state, id);
    let Some(flight) = state.in_flight.remove(&id) else {
        return;
    };
    let metric = match problem {
        problem if problem.retry_after().is_some() && !flight.head_sent => Metric::NotRun,
        _ => Metric::Unknown,
    };
    record_metric(&flight, metric, 1, out);
    if flight.head_sent {
        let event = LogEvent::new(LogCode::StreamAborted)
            .with("request", &flight.label)
            .with("event", flight.last_event.unwrap_or(0))
            .with("sends", flight.tried.len())
            .with("why", why)
            .with("waited_after", flight.pending_resend.unwrap_or("-"));
        out.push(Effect::Log(event));
        out.push(Effect::Direct(DirectEffect::AbortStream(id)));
        return;
    }
    let event = LogEvent::new(LogCode::RequestRefused)
        .with("request", &flight.label)
        .with("problem", problem.name())
        .with("why", why)
        .with("model", flight.model.as_deref().unwrap_or("-"))
        .with("sends", flight.tried.len())
        .with("runs", flight.runs)
        .with("fingerprint", flight.fingerprint)
        .with("turn", format!("{:?}", flight.precedence));
    out.push(Effect::Log(event));
    out.push(Effect::Direct(DirectEffect::Refuse {
        request: id,
        problem,
    }));
}

/// Refuses a request that was not admitted.
pub(super) fn refuse(request: &DirectRequest, refusal: Refusal, out: &mut Vec<Effect>) {
    let problem = refusal.problem;
    let mut event = LogEvent::new(LogCode::RequestRefused)
        .with("request", &request.label)
        .with("problem", problem.name())
        .with("why", refusal.why);
    event.fields.extend(refusal.facts);
    out.push(Effect::Log(event));
    let request = request.id;
    out.push(Effect::Direct(DirectEffect::Refuse { request, problem }));
}

/// Handles a caller that has closed its connection: its request is dropped.
pub(super) fn on_caller_gone(state: &mut DirectState, id: u64, out: &mut Vec<Effect>) {
    moves::cancel_all(state, id, out);
    queue::remove(state, id);
    state.held_requests.retain(|(_, request)| request.id != id);
    if let Some(flight) = state.in_flight.remove(&id) {
        let event = LogEvent::new(LogCode::CallerLeft).with("request", &flight.label);
        out.push(Effect::Log(event));
    }
}

/// Ends requests whose deadline has passed or is close.
pub(super) fn on_tick(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let begun = |f: &InFlightRequest| f.head_sent || f.run.as_ref().is_some_and(|r| r.begun);
    let left = |f: &InFlightRequest| f.deadline.saturating_sub(now);
    let late = |f: &InFlightRequest| {
        left(f) == 0 || (left(f) <= UNSENT_MARGIN_MS && !begun(f) && f.has_not_run())
    };
    let over: Vec<u64> = state
        .in_flight
        .iter()
        .filter(|(_, f)| late(f))
        .map(|(id, _)| *id)
        .collect();
    for id in over {
        time_out(state, now, id, out);
    }
}
