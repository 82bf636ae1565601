//! Trades: ends open groups so that their members can form others that are worth more.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::fill::{self, FreePool};
use super::fleet_view::FleetView;
use super::mix::best_mix;
use super::survey::{self, Place};
use super::value::{readiness_by_model, worth, ModelNeed};
use super::{retire, EndingGroup, GroupView};
use crate::logic::direct::{demand, DirectState, Mechanism};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::{EngineSpec, InstanceId, Millis, SeatState};

/// Least gain of a trade, as a part of the service's worth: the endpoints of the group that
/// ends serve no new requests for one to three seconds.
const MIN_TRADE_GAIN: f64 = 0.015;

/// Shortest time between two trades: the effect of the first is visible by then.
const TRADE_INTERVAL_MS: Millis = 1_000;

/// Whether the last group that was traded in a place is still ending: the free endpoints
/// there wait for its members.
pub(super) fn has_pending_trade(state: &DirectState, place: &Place) -> bool {
    let group = state.plan.traded_groups.get(place);
    group.is_some_and(|name| releasing_groups(state).any(|(ending, _)| ending == name))
}

/// Ending groups with members that aren't free yet.
fn releasing_groups(state: &DirectState) -> impl Iterator<Item = (&Arc<str>, &EndingGroup)> {
    let ending = state.plan.ending.iter();
    ending.filter(|(name, ending)| !retire::is_deserted(state, name, ending))
}

/// Inverse of the part of all groups that may be forming or ending while a group elsewhere
/// is traded: groups under way will change which models are short. If none were allowed, a
/// fleet of 26 groups would hardly ever trade.
const MAX_CHANGING_DIVISOR: usize = 10;

/// Time from the opening of a group for which its members aren't moved again: moving them took about
/// as long.
const MOVE_MS: Millis = 3_000;

/// Places for which trades are weighed in one planning pass, in turn. With all 375 places
/// of 3,000 endpoints in each pass, a planner on a fifth of a core left the fleet unserved.
const MAX_PLACES_PER_PASS: usize = 8;

/// Looks for a group to trade in the next places where no group is forming or ending, unless
/// many groups are forming or ending elsewhere.
pub(super) fn find_trade(
    state: &mut DirectState,
    now: Millis,
    view: &FleetView,
    out: &mut Vec<Effect>,
) {
    let changing = state.plan.forming.len() + releasing_groups(state).count();
    let all: usize = view.groups.values().map(Vec::len).sum();
    if changing * MAX_CHANGING_DIVISOR > all {
        return;
    }
    if now < state.plan.last_trade + TRADE_INTERVAL_MS || !can_trade(state, now) {
        return;
    }
    let changing_places = changing_places(state);
    let free = survey::free(state);
    let last = state.plan.trade_cursor.take();
    let next_places = free
        .iter()
        .filter(|(p, _)| last.as_ref().is_none_or(|l| *p > l));
    for (place, free) in next_places.take(MAX_PLACES_PER_PASS) {
        state.plan.trade_cursor = Some(place.clone());
        if changing_places.contains(place) {
            continue;
        }
        let Some(engine) = fill::engine(state, &place.0) else {
            continue;
        };
        let counts = view.counts(&place.0);
        let value = worth(view.needs(&place.0), &counts)(&vec![0; engine.models.len()]);
        let pool = FreePool {
            place,
            free,
            engine: &engine,
        };
        if try_trade(state, now, view, &pool, value, out) {
            return;
        }
    }
}

/// Whether groups may be traded: not before demand is known, if it is used.
fn can_trade(state: &DirectState, now: Millis) -> bool {
    let is_known = demand::is_known(state, now) || !state.params.is_enabled(Mechanism::Demand);
    is_known && state.params.is_enabled(Mechanism::Trades)
}

/// Places in which a group is forming or ending.
fn changing_places(state: &DirectState) -> BTreeSet<Place> {
    let plan = &state.plan;
    let forming = plan.forming.values();
    let forming = forming.map(|f| (f.service.clone(), f.domain.clone()));
    let members = releasing_groups(state).flat_map(|(_, e)| e.head.iter().chain(&e.others));
    let ending = members.filter_map(|id| {
        let entry = &state.endpoints.get(id)?.entry;
        Some((entry.service.clone(), entry.domain.clone()))
    });
    forming.chain(ending).collect()
}

/// Ends the open group of a place whose members would add most if they formed other groups
/// with the free endpoints there, provided that this exceeds `before`, the service's worth
/// without a trade, by enough. True if a group is traded.
pub(super) fn try_trade(
    state: &mut DirectState,
    now: Millis,
    view: &FleetView,
    pool: &FreePool,
    before: f64,
    out: &mut Vec<Effect>,
) -> bool {
    let FreePool {
        place,
        free,
        engine,
    } = *pool;
    if now < state.plan.last_trade + TRADE_INTERVAL_MS || !can_trade(state, now) {
        return false;
    }
    let counts = view.counts(&place.0);
    let needs = view.needs(&place.0);
    let mut best: Option<(f64, &Arc<str>, &GroupView)> = None;
    for (name, group) in view.groups.get(place).into_iter().flatten() {
        let is_open = group.head().is_some_and(|h| h.state == SeatState::Open);
        if is_open && !has_just_moved(state, now, name) {
            let gain = worth_without(state, group, free, engine, needs, &counts) - before;
            if gain > MIN_TRADE_GAIN && best.as_ref().is_none_or(|(g, ..)| gain > *g) {
                best = Some((gain, name, group));
            }
        }
    }
    let Some((gain, name, group)) = best else {
        return false;
    };
    state.plan.last_trade = now;
    state.plan.traded_groups.insert(place.clone(), name.clone());
    let event = LogEvent::new(LogCode::GroupTraded)
        .with("group", name)
        .with("gain", format!("{gain:.3}"));
    out.push(Effect::Log(event));
    retire::begin(state, now, name, group, true, out);
    true
}

/// Whether the members of a group have just been moved into it, with the part `capacity`: a second
/// move would make the first one useless.
fn has_just_moved(state: &DirectState, now: Millis, group: &Arc<str>) -> bool {
    let since = state.plan.repairs.open_since(group);
    since.is_some_and(|at| now < at + MOVE_MS)
}

/// Worth of a service if a group ended and its members formed the best mix of groups with
/// the free endpoints.
fn worth_without(
    state: &DirectState,
    group: &GroupView,
    free: &[InstanceId],
    engine: &EngineSpec,
    needs: &[ModelNeed],
    counts: &[usize],
) -> f64 {
    let model = engine
        .models
        .iter()
        .position(|m| Some(&m.name) == group.model.as_ref());
    let Some(model) = model.filter(|model| counts[*model] > 0) else {
        return 0.0;
    };
    let mut remaining = counts.to_vec();
    remaining[model] -= 1;
    let mut all = free.to_vec();
    let is_usable = |id: &&InstanceId| {
        let view = state.endpoints.get(*id);
        view.is_some_and(|v| survey::is_usable(state, id, v))
    };
    let members = group.seats.values().map(|s| &s.id);
    all.extend(members.filter(is_usable).cloned());
    let sizes: Vec<usize> = engine.models.iter().map(|m| m.size).collect();
    let mix = best_mix(
        &readiness_by_model(state, &all, engine),
        &sizes,
        worth(needs, &remaining),
    );
    mix.map_or(0.0, |(value, _)| value)
}
