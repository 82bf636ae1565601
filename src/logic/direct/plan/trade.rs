//! Gives open groups up for others that add more.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::fill::{self, Offer};
use super::fleet_view::FleetView;
use super::mix::best_mix;
use super::survey::{self, Place};
use super::value::{able, worth, ModelNeed};
use super::{retire, GroupView};
use crate::logic::direct::{demand, DirectState, Mechanism};
use crate::logic::{Effect, Note, NoteCode};
use crate::types::{EngineSpec, InstanceId, Millis, SeatState};

/// What a trade must add at least, as part of all that a service does: a group that is
/// given up serves nothing new for one to three seconds. Measured in docs/ROUNDS.md.
const TRADE: f64 = 0.015;

/// Shortest time between two trades: what the first has changed is seen by then.
const TRADES_MS: Millis = 1_000;

/// Whether a group of a place is being given up for others there: whoever is free
/// waits for its members.
pub(super) fn awaits_trade(state: &DirectState, place: &Place) -> bool {
    let group = state.plan.trades.get(place);
    group.is_some_and(|name| state.plan.ending.contains_key(name))
}

/// Part of all groups, as its inverse, that may be being formed or given up while a group
/// elsewhere is traded: what is under way will change what is short. With none allowed a
/// fleet of 26 groups hardly ever traded; any number was within luck of a tenth.
const UNDER_WAY: usize = 10;

/// Places that are weighed in one look, in turn: with all of 375 a planner on a
/// fifth of a core left a fleet of 3,000 unserved. That its looks came too late is inferred.
const PLACES: usize = 8;

/// Looks for a group to trade in each place where nothing else is being done, and little
/// in others.
pub(super) fn trades(
    state: &mut DirectState,
    now: Millis,
    view: &FleetView,
    out: &mut Vec<Effect>,
) {
    let under_way = state.plan.forming.len() + state.plan.ending.len();
    let all: usize = view.groups.values().map(Vec::len).sum();
    if under_way * UNDER_WAY > all {
        return;
    }
    if now < state.plan.traded + TRADES_MS || !may_trade(state, now) {
        return;
    }
    let busy = busy(state);
    let free = survey::free(state);
    let last = state.plan.weighed.take();
    let behind = free
        .iter()
        .filter(|(p, _)| last.as_ref().is_none_or(|l| *p > l));
    for (place, free) in behind.take(PLACES) {
        state.plan.weighed = Some(place.clone());
        if busy.contains(place) {
            continue;
        }
        let Some(engine) = fill::engine(state, &place.0) else {
            continue;
        };
        let counts = view.counts(&place.0);
        let value = worth(view.needs(&place.0), &counts)(&vec![0; engine.models.len()]);
        let at = Offer {
            place,
            free,
            engine: &engine,
        };
        if trade(state, now, view, &at, value, out) {
            return;
        }
    }
}

/// Whether trades are weighed at all: not before demand is known.
fn may_trade(state: &DirectState, now: Millis) -> bool {
    let known = demand::is_known(state, now) || !state.knobs.on(Mechanism::Demand);
    known && state.knobs.on(Mechanism::Trades)
}

/// Places in which a group is being formed or given up.
fn busy(state: &DirectState) -> BTreeSet<Place> {
    let plan = &state.plan;
    let forming = plan.forming.values();
    let forming = forming.map(|f| (f.service.clone(), f.domain.clone()));
    let members = plan
        .ending
        .values()
        .flat_map(|e| e.head.iter().chain(&e.others));
    let ending = members.filter_map(|id| {
        let entry = &state.endpoints.get(id)?.entry;
        Some((entry.service.clone(), entry.domain.clone()))
    });
    forming.chain(ending).collect()
}

/// Gives an open group up where its members and the free endpoints of its place
/// would be worth clearly more as other groups than what can be had without it.
pub(super) fn trade(
    state: &mut DirectState,
    now: Millis,
    view: &FleetView,
    at: &Offer,
    before: f64,
    out: &mut Vec<Effect>,
) -> bool {
    let Offer {
        place,
        free,
        engine,
    } = *at;
    if now < state.plan.traded + TRADES_MS || !may_trade(state, now) {
        return false;
    }
    let counts = view.counts(&place.0);
    let needs = view.needs(&place.0);
    let mut best: Option<(f64, &Arc<str>, &GroupView)> = None;
    for (name, group) in view.groups.get(place).into_iter().flatten() {
        if group.head().is_some_and(|h| h.state == SeatState::Open) {
            let gain = without(state, group, free, engine, needs, &counts) - before;
            if gain > TRADE && best.as_ref().is_none_or(|(g, ..)| gain > *g) {
                best = Some((gain, name, group));
            }
        }
    }
    let Some((gain, name, group)) = best else {
        return false;
    };
    state.plan.traded = now;
    state.plan.trades.insert(place.clone(), name.clone());
    let note = Note::new(NoteCode::GroupTraded)
        .with("group", name)
        .with("gain", format!("{gain:.3}"));
    out.push(Effect::Note(note));
    retire::begin(state, now, name, group, true, out);
    true
}

/// Worth of a service if a group's members and the free endpoints formed anew.
fn without(
    state: &DirectState,
    group: &GroupView,
    free: &[InstanceId],
    engine: &EngineSpec,
    needs: &[ModelNeed],
    counts: &[usize],
) -> f64 {
    let at = engine
        .models
        .iter()
        .position(|m| Some(&m.name) == group.model.as_ref());
    let Some(at) = at.filter(|at| counts[*at] > 0) else {
        return 0.0;
    };
    let mut fewer = counts.to_vec();
    fewer[at] -= 1;
    let mut all = free.to_vec();
    all.extend(group.seats.values().map(|s| s.id.clone()));
    let sizes: Vec<usize> = engine.models.iter().map(|m| m.size).collect();
    let mix = best_mix(&able(state, &all, engine), &sizes, worth(needs, &fewer));
    mix.map_or(0.0, |(value, _)| value)
}
