//! Finds endpoints that send nothing although they have runs, and moves their streams.

use super::{moves, peers, plan, DirectState, Mechanism};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::{InstanceId, Millis, RouteKind};

/// How many times its usual longest pause a head may be silent.
const SILENCE_FACTOR: u64 = 3;

/// Time after which a silent endpoint without runs of this router may get requests again.
const SILENCE_EXPIRY_MS: Millis = 1_000;

/// Shortest silence of a head with runs after which its group is suspected and probed. A
/// probe is cheap and moves no stream.
const SUSPECT_MS: Millis = 150;

/// Silence relative to a head's usual longest pause after which it is suspected.
const SUSPECT_PERCENT: u64 = 150;

/// Time between two reports of one endpoint to the planner.
const REPORT_INTERVAL_MS: Millis = 300;

/// How many times the silence limit the streams of a silent head wait before they are moved
/// without any other sign. Under load all heads are slow at once, and moving streams among
/// them adds to the load.
const MOVE_FACTOR: u64 = 4;

/// Finds silent heads, reports suspected ones to the planner and moves streams away.
pub(super) fn on_tick(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let min_limit = state.params.silence_ms;
    let early = state.params.is_enabled(Mechanism::EarlyProbes);
    let mut silent = Vec::new();
    let mut suspected = Vec::new();
    for (id, view) in &mut state.endpoints {
        if view.running == 0 {
            // No request of this router waits for it any more.
            let expired = view
                .silent_since
                .filter(|since| now >= since + SILENCE_EXPIRY_MS);
            view.silent_since = view.silent_since.filter(|_| expired.is_none());
            continue;
        }
        if view.entry.domain.is_empty() {
            continue;
        }
        let silence = now.saturating_sub(view.active_at);
        let suspect = silence >= SUSPECT_MS.max(view.longest_pause * SUSPECT_PERCENT / 100)
            && now >= view.reported_at + REPORT_INTERVAL_MS;
        if suspect && early {
            view.reported_at = now;
            suspected.push(id.clone());
        }
        let limit = min_limit.max((view.longest_pause * SILENCE_FACTOR).min(min_limit * 5));
        if silence < limit {
            continue;
        }
        if view.silent_since.is_none() {
            view.silent_since = Some(now);
            let event = LogEvent::new(LogCode::EndpointSilent)
                .with("endpoint", id)
                .with("still", silence)
                .with("limit", limit)
                .with("running", view.running);
            out.push(Effect::Log(event));
        }
        silent.push((
            id.clone(),
            silence >= limit * MOVE_FACTOR || !view.is_open_head(),
        ));
    }
    for id in suspected {
        if state.plan.lease.holds(now) {
            plan::on_head_suspected(state, now, &id, out);
        } else {
            peers::notify_suspected(state, &id, out);
        }
    }
    if !state.params.is_enabled(Mechanism::Silence) {
        return;
    }
    move_from_ended_groups(state, now, out);
    for (id, must_move) in silent {
        if must_move || plan::is_in_retired_group(state, &id) {
            move_streams(state, now, &id, false, out);
        }
    }
}

/// Moves streams away from heads whose group has ended, though they head another one now.
fn move_from_ended_groups(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let ended = |f: &super::InFlightRequest| {
        let run = f.run.as_ref()?;
        let view = state.endpoints.get(&run.endpoint)?;
        (run.epoch != view.epoch() && view.is_open_head()).then(|| run.endpoint.clone())
    };
    let ids: std::collections::BTreeSet<_> = state.in_flight.values().filter_map(ended).collect();
    for id in ids {
        move_streams(state, now, &id, true, out);
    }
}

/// Moves every stream that can be resumed away from an endpoint; with `earlier_group` only
/// those that were sent to an earlier group of it.
fn move_streams(
    state: &mut DirectState,
    now: Millis,
    from: &InstanceId,
    earlier_group: bool,
    out: &mut Vec<Effect>,
) {
    let epoch = state.endpoints.get(from).map_or(0, |v| v.epoch());
    let movable = |f: &super::InFlightRequest| {
        let here = f
            .run
            .as_ref()
            .is_some_and(|r| r.endpoint == *from && (!earlier_group || r.epoch != epoch));
        let has_attempts = f.runs < f.route.attempts;
        here && has_attempts && f.route.repeatable() && f.route.kind == RouteKind::Streaming
    };
    let streams: Vec<u64> = state
        .in_flight
        .iter()
        .filter(|(_, f)| movable(f))
        .map(|(id, _)| *id)
        .collect();
    for id in streams {
        moves::move_stream(state, now, id, out);
    }
}
