//! What endpoints answer, and what of it goes to callers.

use super::{crashes, end, endpoints, limit, send, DirectEffect, DirectState, RunPart};
use crate::logic::router::Metric;
use crate::logic::Effect;
use crate::types::Millis;

/// First status that says that the endpoint has failed.
const FAILED: u16 = 500;

/// Status of an endpoint that ran out of the request's time.
const OUT_OF_TIME: u16 = 504;

/// Part of an endpoint's answer has arrived.
pub(super) fn part(
    state: &mut DirectState,
    now: Millis,
    run: u64,
    part: RunPart,
    out: &mut Vec<Effect>,
) {
    let Some(id) = state.runs.get(&run).copied() else {
        return;
    };
    let heard = !matches!(part, RunPart::NotSent { .. } | RunPart::Broken);
    endpoints::on_output(state, now, id, heard);
    match part {
        RunPart::Head => head(state, now, id, run, out),
        RunPart::Piece { id: event, bytes } => piece(state, now, id, event, bytes, out),
        RunPart::End => end::complete(state, now, id, DirectEffect::Finish(id), out),
        RunPart::Whole { status, not_run } => whole(state, now, id, run, status, not_run, out),
        RunPart::NotSent { refused } => {
            endpoints::on_run_failure(state, now, id, refused, out);
            endpoints::release_run(state, id);
            send::again(state, now, id, false, "no connection", out);
        }
        RunPart::Broken => {
            crashes::on_run_broken(state, now, id, out);
            endpoints::on_run_broken(state, now, id);
            endpoints::on_run_failure(state, now, id, false, out);
            endpoints::release_run(state, id);
            send::again(state, now, id, true, "the answer broke off", out);
        }
    }
}

fn head(state: &mut DirectState, now: Millis, id: u64, run: u64, out: &mut Vec<Effect>) {
    let run_now = state
        .flights
        .get(&id)
        .and_then(|f| Some((f.run.clone()?, f.route.target_ms)));
    if let Some((run, target)) = run_now.filter(|(r, _)| !r.begun) {
        limit::began(state, now, &run.at, now.saturating_sub(run.since), target);
    }
    endpoints::on_answer_begun(state, id);
    let Some(flight) = state.flights.get_mut(&id) else {
        return;
    };
    if !flight.headed {
        flight.headed = true;
        flight.first = now.saturating_sub(flight.arrived);
        flight.moved = now;
        end::measure(flight, Metric::FirstPiece, flight.first, out);
        out.push(Effect::Direct(DirectEffect::PassHead { request: id, run }));
    }
}

/// Passes an event on, unless the caller has it already.
fn piece(
    state: &mut DirectState,
    now: Millis,
    id: u64,
    event: Option<u64>,
    bytes: bytes::Bytes,
    out: &mut Vec<Effect>,
) {
    let Some(flight) = state.flights.get_mut(&id) else {
        return;
    };
    if let Some(run) = &mut flight.run {
        run.moved = true;
    }
    if event.is_some() && event <= flight.last_event {
        return;
    }
    flight.last_event = event.or(flight.last_event);
    flight.paused = flight.paused.max(now.saturating_sub(flight.moved));
    flight.moved = now;
    out.push(Effect::Direct(DirectEffect::Piece { request: id, bytes }));
}

fn whole(
    state: &mut DirectState,
    now: Millis,
    id: u64,
    run: u64,
    status: u16,
    not_run: bool,
    out: &mut Vec<Effect>,
) {
    let Some(flight) = state.flights.get(&id) else {
        return;
    };
    let failed = status >= FAILED && status != OUT_OF_TIME;
    let last = flight.runs >= flight.route.attempts || !flight.route.repeatable();
    if not_run {
        endpoints::on_overload(state, now, id);
        endpoints::release_run(state, id);
        return send::again(state, now, id, false, "not run", out);
    }
    if flight.headed || (failed && !last) {
        endpoints::release_run(state, id);
        return send::again(state, now, id, true, "the endpoint failed", out);
    }
    let pass = DirectEffect::PassWhole { request: id, run };
    end::complete(state, now, id, pass, out);
}
