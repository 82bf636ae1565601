//! Finds endpoints that have gone silent while they had work.

use super::{choose, end, peers, plan, send, DirectState, Mechanism};
use crate::logic::{Effect, Note, NoteCode};
use crate::types::{InstanceId, Millis, RouteKind};

/// Times its usual longest pause that a head may be silent.
const PAUSES: u64 = 3;

/// Time after which a silent endpoint that has no more work here may be tried
/// again, if it still heads a group.
const FORGIVEN_MS: Millis = 1_000;

/// Shortest pause of a working head after which its group is looked at. A look is
/// cheap and moves nothing.
const DOUBT_MS: Millis = 150;

/// Part of its usual longest pause after which a head is looked at, in hundredths.
const DOUBT: u64 = 150;

/// Time between two words to the planner about one endpoint.
const WARN_MS: Millis = 300;

/// Times the limit after which a silent head is left without any other sign. Under
/// load heads are slow together, and moving streams among them adds to it.
const SURE: u64 = 4;

/// Looks for silent heads and moves what waits for them.
pub(super) fn tend(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let silence = state.knobs.silence_ms;
    let early = state.knobs.on(Mechanism::EarlyLooks);
    let mut found = Vec::new();
    let mut doubted = Vec::new();
    for (id, view) in &mut state.endpoints {
        if view.running == 0 {
            // Nobody waits for it here any more: it may be tried again.
            let since = view.silent.filter(|since| now >= since + FORGIVEN_MS);
            view.silent = view.silent.filter(|_| since.is_none());
            continue;
        }
        if view.entry.domain.is_empty() {
            continue;
        }
        let still = now.saturating_sub(view.heard);
        let doubt = still >= DOUBT_MS.max(view.pause * DOUBT / 100) && now >= view.warned + WARN_MS;
        if doubt && early {
            view.warned = now;
            doubted.push(id.clone());
        }
        let limit = silence.max((view.pause * PAUSES).min(silence * 5));
        if still < limit {
            continue;
        }
        if view.silent.is_none() {
            view.silent = Some(now);
            let note = Note::new(NoteCode::EndpointSilent)
                .with("endpoint", id)
                .with("still", still)
                .with("limit", limit)
                .with("running", view.running);
            out.push(Effect::Note(note));
        }
        found.push((id.clone(), still >= limit * SURE || !view.heads()));
    }
    for id in doubted {
        if state.plan.duty.holds(now) {
            plan::on_head_silent(state, now, &id, out);
        } else {
            peers::warn(state, &id, out);
        }
    }
    if !state.knobs.on(Mechanism::Silence) {
        return;
    }
    outlived(state, now, out);
    for (id, sure) in found {
        if sure || plan::is_in_retired_group(state, &id) {
            leave(state, now, &id, false, out);
        }
    }
}

/// Takes streams away from heads whose group is over, though they head another.
fn outlived(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let over = |f: &super::Flight| {
        let run = f.run.as_ref()?;
        let view = state.endpoints.get(&run.at)?;
        (run.epoch != view.epoch() && view.heads()).then(|| run.at.clone())
    };
    let ids: std::collections::BTreeSet<_> = state.flights.values().filter_map(over).collect();
    for id in ids {
        leave(state, now, &id, true, out);
    }
}

/// Takes every stream that may be resumed away from a lost endpoint; with `old`
/// only those of an earlier group of it.
fn leave(
    state: &mut DirectState,
    now: Millis,
    from: &InstanceId,
    old: bool,
    out: &mut Vec<Effect>,
) {
    let epoch = state.endpoints.get(from).map_or(0, |v| v.epoch());
    let movable = |f: &super::Flight| {
        let here = f
            .run
            .as_ref()
            .is_some_and(|r| r.at == *from && (!old || r.epoch != epoch));
        let left = f.runs < f.route.attempts;
        here && left && f.route.repeatable() && f.route.kind == RouteKind::Streaming
    };
    let waiting: Vec<u64> = state
        .flights
        .iter()
        .filter(|(_, f)| movable(f))
        .map(|(id, _)| *id)
        .collect();
    for id in waiting {
        // Where nobody else would take it, the silent one may still come back.
        let other = state.flights.get(&id).cloned();
        if other.and_then(|f| choose::pick(state, now, &f)).is_none() {
            continue;
        }
        end::cancel(state, id, out);
        send::again(state, now, id, true, "the endpoint is silent", out);
    }
}
