//! Handles the answers of endpoints and passes them on to callers.

use super::admission::pool;
use super::limits::hold_off;
use super::send::FailedSend;
use super::{crashes, endpoints, finish, moves, send, DirectEffect, DirectState, RunPart};
use crate::logic::router::Metric;
use crate::logic::Effect;
use crate::types::Millis;

/// Lowest HTTP status of a server error.
const MIN_SERVER_ERROR: u16 = 500;

/// Status of an endpoint that ran out of the request's time. Unlike other server errors it is no
/// reason to retry: the answer is passed on to the caller, unless the endpoint didn't run the
/// request or part of a stream was sent already.
const GATEWAY_TIMEOUT: u16 = 504;

/// Why a request is sent again whose endpoint has answered with a server error.
const WHY_FAILED: &str = "the endpoint failed";

/// Handles one part of an endpoint's answer.
pub(super) fn on_run_part(
    state: &mut DirectState,
    now: Millis,
    run: u64,
    part: RunPart,
    out: &mut Vec<Effect>,
) {
    let Some(id) = state.runs.get(&run).copied() else {
        return;
    };
    moves::make_current(state, id, run);
    let heard = !matches!(part, RunPart::NotSent { .. } | RunPart::Broken);
    endpoints::on_output(state, now, id, heard);
    match part {
        RunPart::Head => on_head(state, now, id, run, out),
        RunPart::Event { id: event, bytes } => on_stream_event(state, now, id, event, bytes, out),
        RunPart::End => {
            let end = DirectEffect::EndStream(id);
            finish::complete(state, now, id, true, end, out)
        }
        RunPart::Complete { status, not_run } => {
            on_whole_answer(state, now, id, run, status, not_run, out)
        }
        RunPart::NotSent { refused } => {
            endpoints::on_run_failure(state, now, id, refused, out);
            endpoints::release_run(state, id);
            send::retry(
                state,
                now,
                id,
                FailedSend::NotSent,
                "no connection to the endpoint",
                out,
            );
        }
        RunPart::Broken => {
            crashes::on_run_broken(state, now, id, out);
            endpoints::on_run_broken(state, now, id);
            endpoints::on_run_failure(state, now, id, false, out);
            endpoints::release_run(state, id);
            if let Some(flight) = state.in_flight.get_mut(&id) {
                flight.answer_broke = true;
            }
            send::retry(
                state,
                now,
                id,
                FailedSend::MayHaveRun,
                "the answer was cut off or invalid",
                out,
            );
        }
    }
}

fn on_head(state: &mut DirectState, now: Millis, id: u64, run: u64, out: &mut Vec<Effect>) {
    pool::on_run_begun(state, now, id);
    endpoints::on_answer_begun(state, id);
    hold_off::on_run_begun(state, id);
    let Some(flight) = state.in_flight.get_mut(&id) else {
        return;
    };
    if !flight.head_sent {
        flight.head_sent = true;
        flight.first_ms = now.saturating_sub(flight.arrived);
        flight.event_at = now;
        finish::record_metric(flight, Metric::FirstPiece, flight.first_ms, out);
        out.push(Effect::Direct(DirectEffect::PassHead { request: id, run }));
    }
}

/// Passes a stream event on unless the caller already has it.
fn on_stream_event(
    state: &mut DirectState,
    now: Millis,
    id: u64,
    event: Option<u64>,
    bytes: bytes::Bytes,
    out: &mut Vec<Effect>,
) {
    let Some(flight) = state.in_flight.get_mut(&id) else {
        return;
    };
    if let Some(run) = flight.run.as_mut().filter(|run| !run.has_event) {
        run.has_event = true;
        let segments = flight.segments.clone();
        crashes::on_answer_begun(state, now, &segments, out);
    }
    let Some(flight) = state.in_flight.get_mut(&id) else {
        return;
    };
    if event.is_some() && event <= flight.last_event {
        return;
    }
    moves::cancel_others(state, id, out);
    let Some(flight) = state.in_flight.get_mut(&id) else {
        return;
    };
    flight.last_event = event.or(flight.last_event);
    flight.longest_pause = flight
        .longest_pause
        .max(now.saturating_sub(flight.event_at));
    flight.event_at = now;
    out.push(Effect::Direct(DirectEffect::PassEvent {
        request: id,
        bytes,
    }));
}

/// Keeps an endpoint's failure while the request is sent again.
fn keep_failure(state: &mut DirectState, id: u64, run: u64, out: &mut Vec<Effect>) {
    if let Some(flight) = state.in_flight.get_mut(&id) {
        flight.failure_kept = true;
        let keep = DirectEffect::KeepAnswer { request: id, run };
        out.push(Effect::Direct(keep));
    }
}

fn on_whole_answer(
    state: &mut DirectState,
    now: Millis,
    id: u64,
    run: u64,
    status: u16,
    not_run: bool,
    out: &mut Vec<Effect>,
) {
    let Some(flight) = state.in_flight.get(&id) else {
        return;
    };
    let failed = status >= MIN_SERVER_ERROR && status != GATEWAY_TIMEOUT;
    let is_last = flight.runs >= flight.route.attempts || !flight.route.repeatable();
    if not_run {
        endpoints::on_full(state, now, id);
        endpoints::release_run(state, id);
        let why = "the endpoint did not run it";
        return send::retry(state, now, id, FailedSend::NotRun, why, out);
    }
    let is_moved = !flight.earlier_runs.is_empty();
    let head_sent = flight.head_sent;
    if head_sent || (failed && is_moved) {
        if !head_sent {
            keep_failure(state, id, run, out);
        }
        endpoints::release_run(state, id);
        return send::retry(state, now, id, FailedSend::MayHaveRun, WHY_FAILED, out);
    }
    // Without a retry the caller gets the endpoint's own answer.
    if failed && !is_last && send::reserve_retry(state, now, id, true).is_ok() {
        keep_failure(state, id, run, out);
        endpoints::release_run(state, id);
        return send::send_again(state, now, id, WHY_FAILED, out);
    }
    hold_off::on_run_begun(state, id);
    pool::learn_start(state, now, id);
    let pass = DirectEffect::PassAnswer { request: id, run };
    finish::complete(state, now, id, status < MIN_SERVER_ERROR, pass, out);
}
