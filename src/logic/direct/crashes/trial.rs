//! Requests that another one has probably been confused with: they were at the same crashes.
//!
//! The planner sends one of them at a time, alone of its kind. If it is answered in full it is
//! cleared; if an endpoint crashes under it, it is refused.

use super::{detect, Verdict};
use crate::logic::direct::{finish, DirectState, Fingerprint};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::Millis;

/// Why a held request isn't sent.
pub(super) const WHY_HELD: &str = "endpoints crashed while running it and another";

/// Handles a request that isn't sent from now on: those in flight end, unless another request has
/// probably caused the crashes.
pub(super) fn on_blocked(
    state: &mut DirectState,
    now: Millis,
    request: Fingerprint,
    out: &mut Vec<Effect>,
) {
    if state.crashes.table.verdict(now, &request) == Verdict::Refused {
        return detect::end_in_flight(state, request, out);
    }
    state.crashes.held.insert(request);
    let is_waiting = |f: &crate::logic::direct::InFlightRequest| {
        f.fingerprint == request && f.run.is_none() && f.last_event.is_none()
    };
    let in_flight = state.in_flight.iter();
    let waiting = in_flight.filter(|(_, f)| is_waiting(f));
    for id in waiting.map(|(id, _)| *id).collect::<Vec<_>>() {
        finish::give_up(state, now, id, WHY_HELD, out);
    }
}

/// Refuses the held requests that turn out to be refused.
pub(super) fn on_tick(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let crashes = &mut state.crashes;
    let table = &crashes.table;
    crashes.held.retain(|request| table.is_blocked(request));
    let is_refused = |r: &&Fingerprint| table.verdict(now, r) == Verdict::Refused;
    let refused: Vec<_> = crashes.held.iter().filter(is_refused).copied().collect();
    for request in refused {
        state.crashes.held.remove(&request);
        detect::end_in_flight(state, request, out);
    }
}

/// Begins a trial of a held request, if this router is the planner and no other trial is in flight;
/// returns whether it has.
pub(super) fn begin(
    state: &mut DirectState,
    now: Millis,
    id: u64,
    request: &Fingerprint,
    out: &mut Vec<Effect>,
) -> bool {
    let table = &state.crashes.table;
    let mut in_flight = state.in_flight.values();
    let is_busy = in_flight.any(|f| f.fingerprint == *request || table.is_blocked(&f.fingerprint));
    if is_busy || !state.plan.lease.holds(now) {
        return false;
    }
    let event = LogEvent::new(LogCode::SuspectTried)
        .with("fingerprint", request)
        .with("crashes", table.counted_crashes(request));
    out.push(Effect::Log(event));
    state.crashes.trial = Some(id);
    true
}
