//! Requests that another one has probably been confused with, as they were at the same crashes, and
//! segments of prompts that were at several crashes.
//!
//! The planner sends one of them at a time, alone of its kind. If it is answered it is cleared; if an
//! endpoint crashes under it, it is refused.

use super::{detect, Trial, Verdict};
use crate::logic::direct::{finish, DirectState, Fingerprint, InFlightRequest};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::Millis;

/// Why a held request isn't sent.
pub(in crate::logic::direct) const WHY_HELD: &str =
    "endpoints crashed while running it and another";

/// Handles a cause whose requests aren't sent from now on: those in flight end if it is refused, those
/// that wait if it is held.
pub(super) fn on_blocked(
    state: &mut DirectState,
    now: Millis,
    cause: Fingerprint,
    out: &mut Vec<Effect>,
) {
    match state.crashes.table.verdict(now, &cause) {
        Verdict::Sent => return,
        Verdict::Refused => return detect::end_in_flight(state, cause, out),
        Verdict::Held | Verdict::Unsettled => {}
    }
    if state.crashes.held.insert(cause) {
        let event = LogEvent::new(LogCode::SuspectHeld)
            .with("fingerprint", cause)
            .with("kind", state.crashes.table.kind(&cause))
            .with("crashes", state.crashes.table.counted_crashes(&cause));
        out.push(Effect::Log(event));
    }
    let is_waiting =
        |f: &InFlightRequest| f.has_cause(&cause) && f.run.is_none() && !f.is_partly_delivered();
    let in_flight = state.in_flight.iter();
    let waiting = in_flight.filter(|(_, f)| is_waiting(f));
    for id in waiting.map(|(id, _)| *id).collect::<Vec<_>>() {
        finish::give_up(state, now, id, WHY_HELD, out);
    }
}

/// Ends the requests with held causes that turn out to be refused.
pub(super) fn on_tick(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let crashes = &mut state.crashes;
    let table = &crashes.table;
    crashes.held.retain(|cause| table.is_blocked(cause));
    let is_refused = |r: &&Fingerprint| table.verdict(now, r) == Verdict::Refused;
    let refused: Vec<_> = crashes.held.iter().filter(is_refused).copied().collect();
    for cause in refused {
        state.crashes.held.remove(&cause);
        detect::end_in_flight(state, cause, out);
    }
}

/// Whether a request isn't to be sent again: one of its causes is held or refused, and it isn't the one
/// that is tried.
pub(in crate::logic::direct) fn is_withheld(state: &DirectState, now: Millis, id: u64) -> bool {
    let Some(flight) = state.in_flight.get(&id) else {
        return false;
    };
    let crashes = &state.crashes;
    let is_tried = crashes.trial.as_ref().is_some_and(|t| t.request == id);
    let is_sent = |cause: &Fingerprint| crashes.table.verdict(now, cause) == Verdict::Sent;
    !is_tried && !flight.is_partly_delivered() && !flight.causes().all(is_sent)
}

/// Begins a trial of a held request, if this router is the planner and no other trial is in flight;
/// returns whether it has. `held` are its fingerprint and its segments, as far as they are held.
///
/// Only the planner does: a trial by each router would be as many crashes. A request with several held
/// segments isn't tried: a crash wouldn't tell them apart, and requests
/// with one of them alone may show that it is harmless.
pub(super) fn begin(
    state: &mut DirectState,
    now: Millis,
    id: u64,
    held: &[Fingerprint],
    out: &mut Vec<Effect>,
) -> bool {
    let table = &state.crashes.table;
    let segments = held.iter().filter(|cause| table.is_segment(cause));
    let is_sent = |cause: &Fingerprint| table.verdict(now, cause) == Verdict::Sent;
    let is_busy = state.in_flight.values().any(|f| !f.causes().all(is_sent));
    if segments.count() > 1 || is_busy || !state.plan.lease.holds(now) {
        return false;
    }
    for cause in held {
        let event = LogEvent::new(LogCode::SuspectTried)
            .with("fingerprint", cause)
            .with("kind", table.kind(cause))
            .with("crashes", table.counted_crashes(cause));
        out.push(Effect::Log(event));
    }
    state.crashes.trial = Some(Trial {
        request: id,
        causes: held.to_vec(),
    });
    true
}
