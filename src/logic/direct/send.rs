//! Sends a request to an endpoint, and to another one after a failure.

use super::{
    choose, crashes, end, peers, queue, rates, DirectEffect, DirectState, Flight, Mechanism,
    RetryTerms, RetryWindow, Run, RunRequest, Turn,
};
use crate::logic::router::Metric;
use crate::logic::{Effect, Note, NoteCode};
use crate::types::{Millis, RouteKind};

/// Highest rank that an endpoint knows.
const LAST_RANK: u8 = 9;

/// Rank at the endpoint: that of the route, a step for each turn behind the first.
fn rank(flight: &Flight) -> u8 {
    (flight.priority + flight.turn as u8).min(LAST_RANK)
}

/// Time that a stream which is half given waits for a head to take it up: groups
/// form anew within it, and callers wait longer.
const RESUME_MS: Millis = 1_500;

/// Sends a request to the endpoint that suits it best, has it wait for one, or ends it.
pub(super) fn next(state: &mut DirectState, now: Millis, id: u64, out: &mut Vec<Effect>) {
    let Some(flight) = state.flights.get(&id) else {
        return;
    };
    if now >= flight.deadline {
        return end::out_of_time(state, now, id, out);
    }
    if !try_now(state, now, id, out) {
        queue::park(state, now, id, out);
    }
}

/// Sends a request to the endpoint that suits it best; false where none takes it now.
pub(super) fn try_now(
    state: &mut DirectState,
    now: Millis,
    id: u64,
    out: &mut Vec<Effect>,
) -> bool {
    let Some(flight) = state.flights.get(&id).cloned() else {
        return false;
    };
    let Some(to) = choose::pick(state, now, &flight) else {
        return false;
    };
    queue::sent(state, now, id);
    let run = state.number();
    let version = state.routing.as_ref().map_or(0, |r| r.version);
    let Some(view) = state.endpoints.get_mut(&to) else {
        return false;
    };
    if view.running == 0 {
        view.heard = view.heard.max(now);
    }
    rates::sent(view, now);
    view.running += 1;
    view.unread += u64::from(flight.prompt);
    let (addr, epoch) = (view.entry.addr, view.epoch());
    let note = Note::new(NoteCode::FlightSent)
        .with("request", &flight.label)
        .with("fingerprint", flight.fingerprint)
        .with("endpoint", &to)
        .with("running", view.running)
        .with("turn", format!("{:?}", flight.turn))
        .with("waited", now.saturating_sub(flight.moved))
        .with("limit", view.limit)
        .with("beat_age", now.saturating_sub(view.beat_at))
        .with("version", version);
    out.push(Effect::Note(note));
    out.push(Effect::Direct(DirectEffect::Run(Box::new(RunRequest {
        run,
        request: id,
        to: to.clone(),
        addr,
        wait_ms: flight.deadline - now,
        account: flight.account.clone(),
        priority: rank(&flight),
        last_event: flight.last_event,
        stream: flight.route.kind == RouteKind::Streaming,
        careful: !flight.route.repeatable(),
    }))));
    state.runs.insert(run, id);
    if let Some(flight) = state.flights.get_mut(&id) {
        flight.tried.push((to.clone(), epoch));
        flight.runs += 1;
        flight.run = Some(Run {
            id: run,
            at: to,
            epoch,
            since: now,
            begun: false,
            moved: false,
        });
    }
    true
}

/// Sends a request again after a failed run, where that is allowed and paid for.
///
/// `ran` says whether the failed run may have run.
pub(super) fn again(
    state: &mut DirectState,
    now: Millis,
    id: u64,
    ran: bool,
    why: &'static str,
    out: &mut Vec<Effect>,
) {
    let Some(flight) = state.flights.get_mut(&id) else {
        return;
    };
    if !ran {
        flight.runs = flight.runs.saturating_sub(1);
    }
    let repeatable = flight.route.repeatable();
    let allowed = flight.runs < flight.route.attempts && (!ran || repeatable);
    let sends = flight.tried.len() as u32 <= flight.route.attempts + 1;
    let (service, fingerprint) = (flight.service.clone(), flight.fingerprint);
    if ran && crashes::is_risky(state, &fingerprint) {
        return end::give_up(state, now, id, "endpoints crashed under it", out);
    }
    if !allowed || !sends || !pays(state, now, &service) {
        return end::give_up(state, now, id, why, out);
    }
    let waits = state.knobs.on(Mechanism::ResumeWait);
    let window = state.retries.get(&service);
    let (requests, retries) = window.map_or((0, 0), RetryWindow::counts);
    let age = state.age(now);
    if let Some(flight) = state.flights.get_mut(&id) {
        if flight.headed {
            flight.turn = Turn::Resumed;
        }
        if flight.headed && waits {
            flight.held = flight.held.max(now + RESUME_MS);
        }
        let note = Note::new(NoteCode::FlightMoved)
            .with("request", &flight.label)
            .with("why", why)
            .with("runs", flight.runs)
            .with("event", flight.last_event.unwrap_or(0))
            .with("retries", retries)
            .with("requests", requests)
            .with("age", age);
        out.push(Effect::Note(note));
        end::measure(flight, Metric::Retry, 1, out);
    }
    next(state, now, id, out);
}

/// Whether the budget pays for a retry.
fn pays(state: &mut DirectState, now: Millis, service: &std::sync::Arc<str>) -> bool {
    peers::record_routers(state, now);
    let terms = RetryTerms::new(&state.knobs, state.routers.highest());
    let window = state.retries.entry(service.clone()).or_default();
    let proven = state.retries_from.is_some_and(|from| now >= from);
    let paid = proven && window.retry(now, &terms);
    if paid {
        state.retries_paid += 1;
    } else {
        state.retries_unpaid += 1;
    }
    paid
}
