//! Evacuations: operators ask that the endpoints of a data hall get no new requests.
//!
//! A router knows the evacuated halls from its own watch of the operators' keys, or from the
//! planner's digests, whichever is further. What has begun in such a hall goes on there; a run
//! that fails is sent again elsewhere. Groups stay as they are, so that the hall can serve again
//! as soon as it is taken back, but they count for nothing in the plan.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::admission::queue;
use super::limits::cold;
use super::store_restore::REWRITE_MS;
use super::{DirectState, HallChange};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::{Millis, StorePosition};

type Halls = BTreeMap<Arc<str>, Option<Millis>>;

/// Handles a reading of all evacuated halls, as of a position.
pub(super) fn on_halls_read(
    state: &mut DirectState,
    now: Millis,
    at: StorePosition,
    named: Vec<Arc<str>>,
    out: &mut Vec<Effect>,
) {
    let known = &state.evacuation;
    if at < known.known_at {
        return;
    }
    let is_restored = at.era > known.known_at.era;
    let mut halls: Halls = named.into_iter().map(|hall| (hall, None)).collect();
    for (hall, until) in &known.halls {
        let until = until.or(is_restored.then_some(now + REWRITE_MS));
        if until.is_some() {
            halls.entry(hall.clone()).or_insert(until);
        }
    }
    apply(state, now, at, halls, out);
}

/// Handles changes of the evacuated halls up to a position. Those that were known are skipped.
pub(super) fn on_hall_changes(
    state: &mut DirectState,
    now: Millis,
    at: StorePosition,
    changes: Vec<HallChange>,
    out: &mut Vec<Effect>,
) {
    let known = &state.evacuation;
    let mut halls = known.halls.clone();
    for change in changes {
        let changed_at = StorePosition {
            revision: change.revision,
            ..at
        };
        if changed_at <= known.known_at {
            continue;
        }
        if change.evacuated {
            halls.insert(change.hall, None);
        } else {
            halls.remove(&change.hall);
        }
    }
    let at = at.max(known.known_at);
    apply(state, now, at, halls, out);
}

/// Ends evacuations that a restored store hasn't named again in time.
pub(super) fn on_tick(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let is_over = |until: &Option<Millis>| until.is_some_and(|until| now >= until);
    if state.evacuation.halls.values().any(is_over) {
        let mut halls = state.evacuation.halls.clone();
        halls.retain(|_, until| !is_over(until));
        apply(state, now, state.evacuation.known_at, halls, out);
    }
}

fn apply(
    state: &mut DirectState,
    now: Millis,
    at: StorePosition,
    halls: Halls,
    out: &mut Vec<Effect>,
) {
    state.evacuation.known_at = at;
    let before = std::mem::replace(&mut state.evacuation.halls, halls);
    let halls = state.evacuation.halls.clone();
    let began: Vec<_> = halls.keys().filter(|h| !before.contains_key(*h)).collect();
    let ended: Vec<_> = before.keys().filter(|h| !halls.contains_key(*h)).collect();
    for hall in &began {
        let endpoints = state.endpoints.values();
        let endpoints = endpoints.filter(|v| v.listed && v.entry.hall == **hall);
        let event = LogEvent::new(LogCode::HallEvacuated)
            .with("hall", hall)
            .with("endpoints", endpoints.count())
            .with("revision", at.revision);
        out.push(Effect::Log(event));
    }
    for hall in &ended {
        let event = LogEvent::new(LogCode::HallReturned)
            .with("hall", hall)
            .with("revision", at.revision);
        out.push(Effect::Log(event));
        cold::on_hall_returned(state, now, hall);
    }
    if !began.is_empty() {
        queue::refuse_unservable(state, now, out);
    }
    state.digests.has_changes |= !began.is_empty() || !ended.is_empty();
}
