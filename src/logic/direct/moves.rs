//! Streams that are moved from a silent endpoint.
//!
//! The endpoint may still go on, and another one may refuse the stream. So a stream that is moved has
//! a run at each of them, until one of the runs goes on or only one is left.

use super::{choose, endpoints, send, DirectEffect, DirectState, Precedence, Run};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::Millis;

/// Sends a stream to another endpoint if one can take it and a retry is left.
pub(super) fn move_stream(state: &mut DirectState, now: Millis, id: u64, out: &mut Vec<Effect>) {
    let flight = state.in_flight.get(&id).filter(|f| now >= f.resend_at);
    let Some(flight) = flight.cloned() else {
        return;
    };
    let has_place = choose::pick(state, now, &flight).is_some();
    if has_place && send::reserve_retry(state, now, id, true).is_ok() {
        if let Some(flight) = state.in_flight.get_mut(&id).filter(|f| f.head_sent) {
            flight.precedence = Precedence::Resumed;
        }
        send::log_resend(state, now, id, "the endpoint is silent", out);
        send::try_send(state, now, id, out);
    }
}

/// Makes a run the current one of its request: what arrives next is its.
pub(super) fn make_current(state: &mut DirectState, id: u64, run: u64) {
    let Some(flight) = state.in_flight.get_mut(&id) else {
        return;
    };
    let earlier = flight.earlier_runs.iter_mut().find(|r| r.id == run);
    if let Some((earlier, current)) = earlier.zip(flight.run.as_mut()) {
        std::mem::swap(earlier, current);
    }
}

/// Cancels all runs of a request but the current one, which goes on.
pub(super) fn cancel_others(state: &mut DirectState, id: u64, out: &mut Vec<Effect>) {
    let Some(flight) = state.in_flight.get_mut(&id) else {
        return;
    };
    let others = std::mem::take(&mut flight.earlier_runs);
    let current = flight.run.take();
    for run in others {
        cancel(state, id, run, out);
    }
    if let Some(flight) = state.in_flight.get_mut(&id) {
        flight.run = current;
    }
}

/// Cancels all runs of a request.
pub(super) fn cancel_all(state: &mut DirectState, id: u64, out: &mut Vec<Effect>) {
    cancel_others(state, id, out);
    let current = state.in_flight.get_mut(&id).and_then(|f| f.run.take());
    if let Some(run) = current {
        cancel(state, id, run, out);
    }
}

fn cancel(state: &mut DirectState, id: u64, run: Run, out: &mut Vec<Effect>) {
    let number = run.id;
    if let Some(flight) = state.in_flight.get_mut(&id) {
        flight.run = Some(run);
        endpoints::release_run(state, id);
        out.push(Effect::Direct(DirectEffect::Cancel(number)));
    }
}

/// Handles the end of a request's current run: another run of it, if there is one, becomes the current
/// one. Returns whether there is.
pub(super) fn fall_back(
    state: &mut DirectState,
    id: u64,
    why: &'static str,
    out: &mut Vec<Effect>,
) -> bool {
    let Some(flight) = state.in_flight.get_mut(&id) else {
        return false;
    };
    let Some(run) = flight.earlier_runs.pop() else {
        return false;
    };
    let event = LogEvent::new(LogCode::RunDropped)
        .with("request", &flight.label)
        .with("endpoint", &run.endpoint)
        .with("event", flight.last_event.unwrap_or(0))
        .with("why", why);
    out.push(Effect::Log(event));
    flight.run = Some(run);
    true
}
