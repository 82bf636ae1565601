//! Decides which groups free endpoints form.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::mix::{best_mix, use_of};
use super::survey::{self, Place};
use super::{form, place, retire, GroupView, PlaceInput, PlaceModel};
use crate::logic::direct::DirectState;
use crate::logic::{Effect, Note, NoteCode};
use crate::types::{EngineModel, EngineSpec, InstanceId, Millis, SeatState};

/// Time without a new endpoint after which the first placement is made.
const SETTLED_MS: Millis = 500;

/// Time of a join where the endpoint held the model just before.
const AGAIN_MS: Millis = 200;

/// What a trade must add at least, as part of all that a service does.
const TRADE: f64 = 0.035;

/// Part, in hundredths, of what another model has that one has at most which is
/// clearly short of groups.
const CLEARLY: u64 = 70;

/// Shortest time between two trades.
const TRADES_MS: Millis = 3_000;

/// Forms what can be formed.
pub(super) fn tend(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let free = survey::free(state);
    if cheap(state) {
        if now >= state.plan.count.1 + SETTLED_MS {
            first(state, now, free, out);
        }
        return;
    }
    let mut view = FleetView::of(state);
    for (place, free) in free {
        let Some(engine) = engine(state, &place.0) else {
            continue;
        };
        let at = Offer {
            place: &place,
            free: &free,
            engine: &engine,
        };
        repair(state, now, &mut view, &at, out);
    }
    trades(state, now, &view, out);
}

/// Free endpoints of one service and domain.
struct Offer<'a> {
    /// Where they are.
    place: &'a Place,
    /// The endpoints.
    free: &'a [InstanceId],
    /// Their engine.
    engine: &'a EngineSpec,
}

/// What stands, read once a look: each place is weighed by it.
struct FleetView {
    /// Groups by place.
    groups: BTreeMap<Place, Vec<(Arc<str>, GroupView)>>,
    /// Groups of each model by service, those that are being formed included.
    counts: BTreeMap<Arc<str>, Vec<usize>>,
}

impl FleetView {
    fn of(state: &DirectState) -> Self {
        let mut groups: BTreeMap<Place, Vec<(Arc<str>, GroupView)>> = BTreeMap::new();
        for (name, group) in survey::groups(state) {
            let place = (group.service.clone(), group.domain.clone());
            groups.entry(place).or_default().push((name, group));
        }
        let standing = standing(state);
        let mut counts = BTreeMap::new();
        for (service, spec) in state.routing.iter().flat_map(|r| &r.services) {
            if let Some(engine) = &spec.engine {
                counts.insert(service.clone(), counts_in(&standing, service, engine));
            }
        }
        Self { groups, counts }
    }

    /// Groups of each model of a service.
    fn counts(&self, service: &Arc<str>) -> Vec<usize> {
        self.counts.get(service).cloned().unwrap_or_default()
    }
}

/// Whether a group of a place is being given up for others there: whoever is free
/// waits for its members.
fn awaits_trade(state: &DirectState, place: &Place) -> bool {
    let group = state.plan.trades.get(place);
    group.is_some_and(|name| state.plan.ending.contains_key(name))
}

/// Looks for a group to trade where nothing else is being done.
fn trades(state: &mut DirectState, now: Millis, view: &FleetView, out: &mut Vec<Effect>) {
    let busy = !state.plan.forming.is_empty() || !state.plan.ending.is_empty();
    if busy {
        return;
    }
    for (place, free) in survey::free(state) {
        let Some(engine) = engine(state, &place.0) else {
            continue;
        };
        let counts = view.counts(&place.0);
        let value = worth(state, &engine, &counts)(&vec![0; engine.models.len()]);
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

/// Whether loads are cheap: the system is new and no caller has come yet.
pub(super) fn cheap(state: &DirectState) -> bool {
    state.plan.first && !state.plan.traffic
}

/// The engine of a service.
pub(super) fn engine(state: &DirectState, service: &Arc<str>) -> Option<EngineSpec> {
    let routing = state.routing.as_ref()?;
    routing.services.get(service)?.engine.clone()
}

/// Groups of each model by place, those that are being formed included.
fn standing(state: &DirectState) -> BTreeMap<(Place, Arc<str>), usize> {
    let mut standing: BTreeMap<(Place, Arc<str>), usize> = BTreeMap::new();
    for (name, group) in survey::groups(state) {
        let ending = state.plan.ending.contains_key(&name);
        let forming = state.plan.forming.contains_key(&name);
        if let (false, false, Some(model)) = (ending, forming, group.model) {
            *standing
                .entry(((group.service, group.domain), model))
                .or_default() += 1;
        }
    }
    for f in state.plan.forming.values() {
        let place = (f.service.clone(), f.domain.clone());
        *standing.entry((place, f.model.clone())).or_default() += 1;
    }
    standing
}

/// The placement to aim at: groups of each model, by place.
pub(super) fn targets(state: &DirectState) -> BTreeMap<(Place, Arc<str>), usize> {
    let mut sizes: BTreeMap<Place, usize> = BTreeMap::new();
    for (id, view) in &state.endpoints {
        if survey::usable(state, id, view) {
            let place = (view.entry.service.clone(), view.entry.domain.clone());
            *sizes.entry(place).or_default() += 1;
        }
    }
    let mut targets = BTreeMap::new();
    let services: std::collections::BTreeSet<_> = sizes.keys().map(|p| p.0.clone()).collect();
    for service in services {
        let Some(engine) = engine(state, &service) else {
            continue;
        };
        let places: Vec<_> = sizes.iter().filter(|(p, _)| p.0 == service).collect();
        let model = |m: &EngineModel| PlaceModel {
            size: m.size,
            share: m.share,
        };
        let input = PlaceInput {
            domains: places.iter().map(|(_, n)| **n).collect(),
            models: engine.models.iter().map(model).collect(),
        };
        for ((place, _), mix) in places.iter().zip(place(&input)) {
            for (model, count) in engine.models.iter().zip(mix) {
                targets.insert(((*place).clone(), model.name.clone()), count);
            }
        }
    }
    targets
}

/// The first placement, from endpoints that hold what they need.
fn first(
    state: &mut DirectState,
    now: Millis,
    free: BTreeMap<Place, Vec<InstanceId>>,
    out: &mut Vec<Effect>,
) {
    let targets = targets(state);
    let mut standing = standing(state);
    for (place, mut free) in free {
        let Some(engine) = engine(state, &place.0) else {
            continue;
        };
        for model in &engine.models {
            let key = (place.clone(), model.name.clone());
            let wanted = targets.get(&key).copied().unwrap_or(0);
            let stands = standing.entry(key).or_default();
            while *stands < wanted {
                sort(state, &mut free, &model.name);
                let ready = |id: &InstanceId| readiness(state, id, &model.name) < COLD;
                if free.iter().take_while(|id| ready(id)).count() < model.size {
                    break;
                }
                *stands += 1;
                let members = free.drain(..model.size).collect();
                let takes = model.warm_ms + engine.form_ms;
                form::begin(state, now, &place, model.name.clone(), members, takes, out);
            }
        }
    }
}

/// Forms groups from endpoints that need no load from the weight store: the mix
/// that adds most to what the service can do.
fn repair(
    state: &mut DirectState,
    now: Millis,
    view: &mut FleetView,
    at: &Offer,
    out: &mut Vec<Effect>,
) {
    let Offer {
        place,
        free,
        engine,
    } = *at;
    if awaits_trade(state, place) {
        return;
    }
    let counts = view.counts(&place.0);
    let able = able(state, free, engine);
    let sizes: Vec<usize> = engine.models.iter().map(|m| m.size).collect();
    let mix = best_mix(&able, &sizes, worth(state, engine, &counts));
    let Some((value, mix)) = mix else {
        return;
    };
    if trade(state, now, view, at, value, out) {
        return;
    }
    for (n, members) in mix.into_iter().enumerate() {
        let model = &engine.models[n];
        if let Some(counts) = view.counts.get_mut(&place.0) {
            counts[n] += members.len();
        }
        for members in members {
            let warm = members.iter().any(|member| able[*member][n] > 0);
            let load = if warm { model.warm_ms } else { AGAIN_MS };
            let members = members.iter().map(|n| free[*n].clone()).collect();
            let takes = load + engine.form_ms;
            form::begin(state, now, place, model.name.clone(), members, takes, out);
        }
    }
}

/// Gives an open group up where its members and the free endpoints of its place
/// would be worth clearly more as other groups than what can be had without it.
fn trade(
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
    if now < state.plan.traded + TRADES_MS {
        return false;
    }
    let counts = view.counts(&place.0);
    let mut best: Option<(f64, &Arc<str>, &GroupView)> = None;
    for (name, group) in view.groups.get(place).into_iter().flatten() {
        if group.head().is_some_and(|h| h.state == SeatState::Open) {
            let gain = without(state, group, free, engine, &counts) - before;
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
    let worth = worth(state, engine, &fewer);
    let mix = best_mix(&able(state, &all, engine), &sizes, worth);
    mix.map_or(0.0, |(value, _)| value)
}

/// Readiness of endpoints for each model.
fn able(state: &DirectState, ids: &[InstanceId], engine: &EngineSpec) -> Vec<Vec<u8>> {
    let one = |id: &InstanceId| {
        let ready = |m: &EngineModel| readiness(state, id, &m.name);
        engine.models.iter().map(ready).collect()
    };
    ids.iter().map(one).collect()
}

/// Worth of a service with some groups of each model, and a mix beside.
fn worth<'a>(
    state: &DirectState,
    engine: &'a EngineSpec,
    counts: &'a [usize],
) -> impl Fn(&[usize]) -> f64 + 'a {
    let all = state.plan.most.max(1);
    let of = |m: &EngineModel| weight(state, m, engine);
    let weights: Vec<f64> = engine.models.iter().map(of).collect();
    move |mix: &[usize]| {
        let parts = engine.models.iter().zip(counts).zip(mix).zip(&weights);
        parts
            .map(|(((m, c), n), w)| use_of(m, c + n, all, *w))
            .sum()
    }
}

/// What the work of a model counts: halfway between its published part of the
/// instances and its part of the requests seen here.
fn weight(state: &DirectState, model: &EngineModel, engine: &EngineSpec) -> f64 {
    let asked = |name: &Arc<str>| state.asked_for.get(name).copied().unwrap_or(0);
    let all: u64 = engine.models.iter().map(|m| asked(&m.name)).sum();
    let share = model.share as f64 / 1_000.0;
    if all == 0 {
        return share;
    }
    (share + asked(&model.name) as f64 / all as f64) / 2.0
}

fn index(engine: &EngineSpec, model: &EngineModel) -> usize {
    let here = engine.models.iter().position(|m| m.name == model.name);
    here.unwrap_or(0)
}

/// Groups of each model of a service.
fn counts(state: &DirectState, service: &Arc<str>, engine: &EngineSpec) -> Vec<usize> {
    counts_in(&standing(state), service, engine)
}

fn counts_in(
    standing: &BTreeMap<(Place, Arc<str>), usize>,
    service: &Arc<str>,
    engine: &EngineSpec,
) -> Vec<usize> {
    let of = |m: &EngineModel| {
        let here = standing
            .iter()
            .filter(|((p, name), _)| p.0 == *service && *name == m.name);
        here.map(|(_, n)| n).sum()
    };
    engine.models.iter().map(of).collect()
}

/// Models of a service, the one with the least of what it needs first.
pub(super) fn by_need(
    state: &DirectState,
    service: &Arc<str>,
    engine: &EngineSpec,
) -> Vec<EngineModel> {
    let counts = counts(state, service, engine);
    let mut models = engine.models.clone();
    models.sort_by_key(|m| served(m, counts[index(engine, m)]));
    models
}

/// The model that has clearly less of what it needs than any other.
pub(super) fn short_of(
    state: &DirectState,
    service: &Arc<str>,
    engine: &EngineSpec,
) -> Option<Arc<str>> {
    let counts = counts(state, service, engine);
    let of = |m: &EngineModel| served(m, counts[index(engine, m)]);
    let models = by_need(state, service, engine);
    let (first, next) = (models.first()?, models.get(1)?);
    (of(first) * 100 < of(next) * CLEARLY).then(|| first.name.clone())
}

/// Instances in groups of a model for each part of the work that is its share.
fn served(model: &EngineModel, groups: usize) -> u64 {
    (groups * model.size * 1_000_000) as u64 / model.share.max(1)
}

/// What an endpoint must do to serve a model: nothing, load from the host, or
/// load from the weight store.
pub(super) fn readiness(state: &DirectState, id: &InstanceId, model: &Arc<str>) -> u8 {
    let Some(view) = state.endpoints.get(id) else {
        return COLD;
    };
    if view.last.as_ref() == Some(model) {
        0
    } else if view.entry.staged.contains(model) {
        1
    } else {
        COLD
    }
}

/// Readiness of an endpoint that has to load from the weight store.
pub(super) const COLD: u8 = 2;

fn sort(state: &DirectState, free: &mut [InstanceId], model: &Arc<str>) {
    free.sort_by_key(|id| readiness(state, id, model));
}
