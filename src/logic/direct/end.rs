//! Last step of a request: its one final answer.

use super::{crashes, demand, endpoints, queue, DirectEffect, DirectState, Flight, Problem};
use crate::logic::router::Metric;
use crate::logic::{Effect, Note, NoteCode};
use crate::types::Millis;

/// Gives a caller the end of its answer.
pub(super) fn complete(
    state: &mut DirectState,
    now: Millis,
    id: u64,
    last: DirectEffect,
    out: &mut Vec<Effect>,
) {
    endpoints::on_served(state, id);
    endpoints::release_run(state, id);
    let Some(flight) = state.flights.remove(&id) else {
        return;
    };
    crashes::on_answered(state, now, flight.fingerprint, out);
    out.push(Effect::Direct(last));
    out.push(Effect::Note(
        Note::new(NoteCode::FlightAnswered)
            .with("request", &flight.label)
            .with("took", now.saturating_sub(flight.arrived))
            .with("first", flight.first)
            .with("paused", flight.paused)
            .with("sends", flight.tried.len()),
    ));
    measure(
        &flight,
        Metric::Total,
        now.saturating_sub(flight.arrived),
        out,
    );
}

/// Records a value of a request.
pub(super) fn measure(flight: &Flight, metric: Metric, value: u64, out: &mut Vec<Effect>) {
    out.push(Effect::Measure {
        metric,
        account: flight.account.clone().unwrap_or_else(|| "-".into()),
        class: flight.route.name.clone(),
        value,
    });
}

/// Part of the time that a caller has left up to which it waits before it comes back.
const HEEDED: u64 = 3;

/// Steps of the random part of the time to come back.
const SPREAD: u64 = 1_000;

/// Time before the deadline at which a request ends that nobody has begun.
const LAST_MS: Millis = 60;

/// Time within which a router that has started knows the routing and the list.
const KNOWN_MS: Millis = 500;

/// When a caller should come back that came before anything was known here, with the time
/// that it has left. Without it callers return at once, often to another router that has
/// just started too, and have no try left.
pub(super) fn not_yet(state: &mut DirectState, left: Option<Millis>) -> Problem {
    let draw = state.random(SPREAD);
    let most = left.map_or(KNOWN_MS, |left| KNOWN_MS.min(left / HEEDED));
    Problem::NotYet(most * (SPREAD + draw) / (2 * SPREAD))
}

/// Ends a request that no endpoint can be found for, or that failed for good.
pub(super) fn give_up(
    state: &mut DirectState,
    now: Millis,
    id: u64,
    why: &'static str,
    out: &mut Vec<Effect>,
) {
    let draw = state.random(SPREAD);
    let Some(flight) = state.flights.get(&id) else {
        return;
    };
    let told_back = flight.promises() && !flight.headed;
    let model = flight.model.clone().filter(|_| told_back);
    let problem = if flight.promises() {
        let most = flight.deadline.saturating_sub(now) / HEEDED;
        let again = state.knobs.again_ms.min(most);
        Problem::NotRun(again + (most - again) * (SPREAD + draw) / (2 * SPREAD))
    } else {
        Problem::Unknown
    };
    if let Some(model) = model {
        demand::count_refusal(state, now, &model);
    }
    finish(state, id, problem, why, out);
}

/// Ends a request whose time is over.
pub(super) fn out_of_time(state: &mut DirectState, now: Millis, id: u64, out: &mut Vec<Effect>) {
    let why = "its time is over";
    match state.flights.get(&id) {
        Some(f) if f.promises() && !f.headed => give_up(state, now, id, why, out),
        _ => finish(state, id, Problem::TimedOut, why, out),
    }
}

/// Ends a request that is refused from now on.
pub(super) fn forbid(state: &mut DirectState, id: u64, out: &mut Vec<Effect>) {
    let why = "endpoints crashed under it";
    finish(state, id, Problem::CrashesEndpoints, why, out);
}

fn finish(
    state: &mut DirectState,
    id: u64,
    problem: Problem,
    why: &'static str,
    out: &mut Vec<Effect>,
) {
    cancel(state, id, out);
    queue::leave(state, id);
    let Some(flight) = state.flights.remove(&id) else {
        return;
    };
    let metric = match problem {
        Problem::NotRun(_) | Problem::NotYet(_) if !flight.headed => Metric::NotRun,
        _ => Metric::Unknown,
    };
    measure(&flight, metric, 1, out);
    if flight.headed {
        let note = Note::new(NoteCode::FlightCut)
            .with("request", &flight.label)
            .with("event", flight.last_event.unwrap_or(0))
            .with("sends", flight.tried.len())
            .with("why", why);
        out.push(Effect::Note(note));
        out.push(Effect::Direct(DirectEffect::Cut(id)));
        return;
    }
    let note = Note::new(NoteCode::FlightRefused)
        .with("request", &flight.label)
        .with("problem", problem.name())
        .with("why", why)
        .with("model", flight.model.as_deref().unwrap_or("-"))
        .with("sends", flight.tried.len())
        .with("runs", flight.runs)
        .with("fingerprint", flight.fingerprint)
        .with("turn", format!("{:?}", flight.turn));
    out.push(Effect::Note(note));
    out.push(Effect::Direct(DirectEffect::Refuse {
        request: id,
        problem,
    }));
}

/// Gives a caller a final answer of the router's own.
pub(super) fn refuse(
    request: u64,
    label: &str,
    problem: Problem,
    why: &'static str,
    out: &mut Vec<Effect>,
) {
    let note = Note::new(NoteCode::FlightRefused)
        .with("request", label)
        .with("problem", problem.name())
        .with("why", why);
    out.push(Effect::Note(note));
    out.push(Effect::Direct(DirectEffect::Refuse { request, problem }));
}

/// A caller has hung up: nobody waits for the answer.
pub(super) fn caller_gone(state: &mut DirectState, id: u64, out: &mut Vec<Effect>) {
    cancel(state, id, out);
    queue::leave(state, id);
    state.early.retain(|(_, request)| request.id != id);
    if let Some(flight) = state.flights.remove(&id) {
        let note = Note::new(NoteCode::FlightLeft).with("request", &flight.label);
        out.push(Effect::Note(note));
    }
}

/// Closes the connection of the run that is awaited.
pub(super) fn cancel(state: &mut DirectState, id: u64, out: &mut Vec<Effect>) {
    let run = state.flights.get(&id).and_then(|f| f.run.as_ref());
    if let Some(run) = run.map(|r| r.id) {
        endpoints::release_run(state, id);
        out.push(Effect::Direct(DirectEffect::Cancel(run)));
    }
}

/// Ends what is out of time.
pub(super) fn tend(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let begun = |f: &Flight| f.headed || f.run.as_ref().is_some_and(|r| r.begun);
    let left = |f: &Flight| f.deadline.saturating_sub(now);
    let late = |f: &Flight| left(f) == 0 || (left(f) <= LAST_MS && !begun(f) && f.promises());
    let over: Vec<u64> = state
        .flights
        .iter()
        .filter(|(_, f)| late(f))
        .map(|(id, _)| *id)
        .collect();
    for id in over {
        out_of_time(state, now, id, out);
    }
}
