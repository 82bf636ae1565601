//! Trials of requests and segments of prompts that were at several crashes.
//!
//! One of them at a time is sent, alone of its kind. If it is answered it is cleared; if an
//! endpoint crashes under it, it is blocked until the next trial. Other requests run at that endpoint,
//! and it may fail by itself, so that no number of trials proves a request wrong.

use super::{detect, trial_grants, Trial, Verdict};
use crate::logic::direct::{finish, DirectState, Fingerprint, InFlightRequest};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::Millis;

/// Why a held request isn't sent.
pub(in crate::logic::direct) const WHY_HELD: &str =
    "endpoints crashed while running it and another";

/// Shortest time between two reviews of all requests and segments that aren't sent.
const REVIEW_INTERVAL_MS: Millis = 100;

/// Applies what follows for a cause, if that has changed: requests in flight with it end if they aren't to
/// be sent, or no longer, before its next trial.
pub(super) fn review(
    state: &mut DirectState,
    now: Millis,
    cause: Fingerprint,
    out: &mut Vec<Effect>,
) {
    let verdict = state.crashes.table.verdict(now, &cause);
    let withheld = &mut state.crashes.withheld;
    let before = match verdict {
        Verdict::Sent => withheld.remove(&cause),
        _ => withheld.insert(cause, verdict),
    };
    match verdict {
        Verdict::Sent => {}
        Verdict::Blocked if before != Some(verdict) => {
            detect::end_in_flight(state, now, cause, out);
        }
        Verdict::Held | Verdict::Unsettled if before.is_none() => {
            let event = LogEvent::new(LogCode::SuspectHeld)
                .with("fingerprint", cause)
                .with("kind", state.crashes.table.kind(&cause))
                .with("crashes", state.crashes.table.counted_crashes(&cause));
            out.push(Effect::Log(event));
            end_waiting(state, now, cause, out);
        }
        _ => {}
    }
}

/// Ends the requests with a cause that wait to be sent.
fn end_waiting(state: &mut DirectState, now: Millis, cause: Fingerprint, out: &mut Vec<Effect>) {
    let is_waiting =
        |f: &InFlightRequest| f.has_cause(&cause) && f.run.is_none() && !f.is_partly_delivered();
    let in_flight = state.in_flight.iter();
    let waiting = in_flight.filter(|(_, f)| is_waiting(f));
    for id in waiting.map(|(id, _)| *id).collect::<Vec<_>>() {
        finish::give_up(state, now, id, WHY_HELD, out);
    }
}

/// Reviews all causes that aren't sent: what follows for them changes as others are reported, and with
/// time.
pub(super) fn on_tick(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    if now < state.crashes.review_at {
        return;
    }
    state.crashes.review_at = now + REVIEW_INTERVAL_MS;
    let causes: Vec<_> = state.crashes.withheld.keys().copied().collect();
    for cause in causes {
        review(state, now, cause, out);
    }
}

/// Whether a request isn't to be sent again: one of its causes is held or blocked, and it isn't the one
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

/// Whether a request with some held causes may be tried now, as far as this router knows: no trial of its
/// own is in flight. A request with several held segments is tried only after some time: a crash wouldn't
/// tell them apart, and requests with one of them alone may show that it is harmless.
pub(super) fn is_due(state: &DirectState, now: Millis, held: &[Fingerprint]) -> bool {
    let table = &state.crashes.table;
    let segments: Vec<_> = held.iter().filter(|c| table.is_segment(c)).collect();
    let is_early = |cause: &&Fingerprint| now < table.joint_trial_at(cause);
    if segments.len() > 1 && segments.iter().any(is_early) {
        return false;
    }
    let is_sent = |cause: &Fingerprint| table.verdict(now, cause) == Verdict::Sent;
    let is_trial = |f: &InFlightRequest| !f.is_partly_delivered() && !f.causes().all(is_sent);
    !state.in_flight.values().any(is_trial)
}

/// Begins a trial of a held request if one is due and the planner allows it: a trial by each router would
/// be as many crashes. `held` are its fingerprint and its segments, as far as they are held.
pub(super) fn begin(
    state: &mut DirectState,
    now: Millis,
    id: u64,
    held: &[Fingerprint],
    out: &mut Vec<Effect>,
) -> bool {
    if !is_due(state, now, held) || !trial_grants::may_begin(state, now, held, out) {
        return false;
    }
    let table = &state.crashes.table;
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
