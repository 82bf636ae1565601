//! Gives open groups up for others that add more.

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
    let groups = state.plan.trades.get(place);
    groups.is_some_and(|names| names.iter().any(|n| state.plan.ending.contains_key(n)))
}

/// Looks for a group to trade where nothing else is being done.
pub(super) fn trades(
    state: &mut DirectState,
    now: Millis,
    view: &FleetView,
    out: &mut Vec<Effect>,
) {
    let busy = !state.plan.forming.is_empty() || !state.plan.ending.is_empty();
    if busy {
        return;
    }
    for (place, free) in survey::free(state) {
        let Some(engine) = fill::engine(state, &place.0) else {
            continue;
        };
        let counts = view.counts(&place.0);
        let value = worth(view.needs(&place.0), &counts)(&vec![0; engine.models.len()]);
        let at = Offer {
            place: &place,
            free: &free,
            engine: &engine,
        };
        if trade(state, now, view, &at, value, out) {
            return;
        }
    }
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
    let known = demand::known(state, now) || !state.knobs.on(Mechanism::Demand);
    if !state.knobs.on(Mechanism::Trades) {
        return false;
    }
    if now < state.plan.traded + TRADES_MS || !known {
        return false;
    }
    let counts = view.counts(&place.0);
    let needs = view.needs(&place.0);
    let mut best: Option<(f64, Vec<Arc<str>>)> = None;
    for groups in choices(view, place, engine) {
        let gain = without(state, &groups, free, engine, needs, &counts) - before;
        let least = TRADE * groups.len() as f64;
        if gain > least && best.as_ref().is_none_or(|(most, _)| gain - least > *most) {
            let names = groups.iter().map(|(name, _)| (*name).clone()).collect();
            best = Some((gain - least, names));
        }
    }
    let Some((gain, names)) = best else {
        return false;
    };
    state.plan.traded = now;
    state.plan.trades.insert(place.clone(), names.clone());
    for (name, group) in view.groups.get(place).into_iter().flatten() {
        if !names.contains(name) {
            continue;
        }
        let note = Note::new(NoteCode::GroupTraded)
            .with("group", name)
            .with("gain", format!("{gain:.3}"))
            .with("with", names.len());
        out.push(Effect::Note(note));
        retire::begin(state, now, name, group, true, out);
    }
    true
}

type Named<'a> = (&'a Arc<str>, &'a GroupView);

/// Groups of a place that might be given up together: any one, and several of a smaller
/// model where that makes room for one more of the largest.
fn choices<'a>(view: &'a FleetView, place: &Place, engine: &EngineSpec) -> Vec<Vec<Named<'a>>> {
    let open = |g: &GroupView| g.head().is_some_and(|h| h.state == SeatState::Open);
    let here = view.groups.get(place).into_iter().flatten();
    let here: Vec<Named> = here.filter(|(_, g)| open(g)).map(|(n, g)| (n, g)).collect();
    let largest = engine.models.iter().map(|m| m.size).max().unwrap_or(1);
    let mut choices: Vec<Vec<Named>> = here.iter().map(|one| vec![*one]).collect();
    for model in &engine.models {
        let of = |(_, g): &&Named| g.model.as_ref() == Some(&model.name);
        let same: Vec<Named> = here.iter().filter(of).copied().collect();
        let most = largest.div_ceil(model.size).min(same.len());
        choices.extend((2..=most).map(|n| same[..n].to_vec()));
    }
    choices
}

/// Worth of a service if the members of some groups and the free endpoints formed anew.
fn without(
    state: &DirectState,
    groups: &[Named],
    free: &[InstanceId],
    engine: &EngineSpec,
    needs: &[ModelNeed],
    counts: &[usize],
) -> f64 {
    let mut fewer = counts.to_vec();
    let mut all = free.to_vec();
    for (_, group) in groups {
        let mut models = engine.models.iter();
        let at = models.position(|m| Some(&m.name) == group.model.as_ref());
        let Some(at) = at.filter(|at| fewer[*at] > 0) else {
            return 0.0;
        };
        fewer[at] -= 1;
        all.extend(group.seats.values().map(|s| s.id.clone()));
    }
    let sizes: Vec<usize> = engine.models.iter().map(|m| m.size).collect();
    let mix = best_mix(&able(state, &all, engine), &sizes, worth(needs, &fewer));
    mix.map_or(0.0, |(value, _)| value)
}
