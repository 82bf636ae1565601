//! Decides which model spares hold ready.
//!
//! A spare joins a group of its own, which never opens: whoever has held a
//! model joins a group of that model almost at once.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::cover::{self, Cover};
use super::survey::{self, Place};
use super::{fill, form, order, value, OrderUse, Staging};
use crate::logic::direct::{DirectState, EndpointView, GroupStep, Mechanism};
use crate::logic::{Effect, Note, NoteCode};
use crate::types::{EngineSpec, InstanceId, Millis};

/// Time after which an order to load that shows no effect is given again.
const AGAIN_MS: Millis = 3_000;

/// Times the loads at once that may be under way while loads are cheap.
const PARALLEL: usize = 3;

/// Unanswered orders beyond which nothing more is staged: groups come first, and
/// each order costs this router time.
const BACKLOG: usize = 256;

/// Least that a load must add, as a part of what the service does, to be worth its
/// price. At 0 days were the same; at 0.008, with half of the loads at once for members,
/// they lost 0.05 (docs/ROUNDS.md; the two were not measured apart).
const LEAST_VALUE: f64 = 0.001;

/// Sees to it that endpoints hold models ready.
pub(super) fn tend(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    forget(state, now);
    refill(state, now);
    if state.plan.orders.len() < BACKLOG && state.knobs.on(Mechanism::Spares) {
        spares(state, now, out);
    }
    if state.plan.orders.len() < BACKLOG / 4 && state.knobs.on(Mechanism::SecondModels) {
        second(state, now, out);
    }
}

/// Tells spares that hold no model to hold one.
fn spares(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let mut services: BTreeMap<Arc<str>, Option<Cover>> = BTreeMap::new();
    for (place, free) in survey::free(state) {
        let cover = services
            .entry(place.0.clone())
            .or_insert_with(|| Cover::of(state, now, &place.0));
        let Some(cover) = cover else {
            continue;
        };
        for id in &free {
            let idle = !state.plan.staging.contains_key(id);
            let view = state.endpoints.get(id);
            // To hold a model again would drive the second one from its host.
            let holds = view.is_some_and(|v| v.last.is_some());
            if !idle || holds {
                continue;
            }
            let warm = warm_model(state, id, &cover.engine);
            // Whoever was there before this router may hold a model that it doesn't
            // know of, and would lose it.
            if warm.is_some() && !view.is_some_and(|v| v.new) {
                continue;
            }
            if warm.is_none() && !room(state, &cover.engine) {
                continue;
            }
            let model = warm.or_else(|| choose(state, &place, &free, cover));
            if let Some(m) = model {
                let name = cover.engine.models[m].name.clone();
                cover.loads(&place.1, m, true);
                give(state, now, id, &name, warm.is_none(), out);
            }
        }
    }
}

/// A model that the endpoint's host keeps.
fn warm_model(state: &DirectState, id: &InstanceId, engine: &EngineSpec) -> Option<usize> {
    let ready = |m: usize| value::readiness(state, id, &engine.models[m].name);
    let warm = (0..engine.models.len()).filter(|m| ready(*m) < value::COLD);
    warm.min_by_key(|m| ready(*m))
}

/// The model that an empty spare of a domain should load: as the work is shared while
/// loads are cheap or no group stands, then what adds most.
fn choose(state: &DirectState, place: &Place, free: &[InstanceId], cover: &Cover) -> Option<usize> {
    let models = &cover.engine.models;
    if cover.empty() || fill::cheap(state) {
        let filled = |m: &usize| {
            let ready = free
                .iter()
                .filter(|id| cover::has(state, id, &models[*m].name));
            ready.count() as u64 * 1_000_000 / models[*m].share.max(1)
        };
        return (0..models.len()).min_by_key(filled);
    }
    let value = |m: usize| cover.value(&place.1, m, true);
    (0..models.len()).max_by(|a, b| value(*a).total_cmp(&value(*b)))
}

/// Tells endpoints to load a second model to their hosts, as long as one adds enough:
/// a member keeps the model of its group, and the host holds another one ready, so
/// that whoever is left of a group can serve either.
fn second(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let free: BTreeSet<InstanceId> = survey::free(state).into_values().flatten().collect();
    let services: BTreeSet<Arc<str>> = state
        .endpoints
        .values()
        .map(|v| v.entry.service.clone())
        .collect();
    for service in services {
        let Some(mut cover) = Cover::of(state, now, &service) else {
            continue;
        };
        loop {
            let busy = state.plan.staging.len() as u32 >= cover.engine.loads_at_once;
            if busy || !room(state, &cover.engine) {
                break;
            }
            let Some((id, m)) = best_load(state, &service, &cover, &free) else {
                break;
            };
            let Some(domain) = state.endpoints.get(&id).map(|v| v.entry.domain.clone()) else {
                break;
            };
            cover.loads(&domain, m, free.contains(&id));
            let model = cover.engine.models[m].name.clone();
            let step = GroupStep::Stage {
                model: model.clone(),
            };
            tell(state, now, &id, &model, true, step, out);
        }
    }
}

/// The endpoint and the model whose load adds most, if any adds enough.
fn best_load(
    state: &DirectState,
    service: &Arc<str>,
    cover: &Cover,
    free: &BTreeSet<InstanceId>,
) -> Option<(InstanceId, usize)> {
    let mut best: Option<(f64, InstanceId, usize)> = None;
    for (id, view) in &state.endpoints {
        let told = state.plan.staging.contains_key(id);
        let Some(held) = view.last.as_ref().filter(|_| !told) else {
            continue;
        };
        // A host keeps few models: another one there is not driven out.
        let full = view.entry.staged.iter().any(|m| m != held);
        if full || view.entry.service != *service || !survey::usable(state, id, view) {
            continue;
        }
        for (m, model) in cover.engine.models.iter().enumerate() {
            if model.name == *held {
                continue;
            }
            let value = cover.value(&view.entry.domain, m, free.contains(id));
            if value > best.as_ref().map_or(LEAST_VALUE, |b| b.0) {
                best = Some((value, id.clone(), m));
            }
        }
    }
    best.map(|(_, id, m)| (id, m))
}

/// Forgets orders that are done, and those that had no effect.
fn forget(state: &mut DirectState, now: Millis) {
    let endpoints = &state.endpoints;
    let routing = state.routing.clone();
    let load = |id: &InstanceId, model: &Arc<str>| {
        let service = endpoints.get(id).map(|v| v.entry.service.clone());
        let engine = service.and_then(|s| routing.as_ref()?.services.get(&s)?.engine.as_ref());
        engine.and_then(|e| e.model(model)).map_or(0, |m| m.load_ms)
    };
    state.plan.staging.retain(|id, staging| {
        let view = endpoints.get(id);
        let holds = |v: &EndpointView| v.entry.model.as_ref() == Some(&staging.model);
        let lies = |v: &EndpointView| v.entry.staged.contains(&staging.model);
        let waits = |v: &EndpointView| !(holds(v) || (!staging.hold && lies(v)));
        let late = staging.since + 2 * load(id, &staging.model) + AGAIN_MS;
        view.is_some_and(waits) && now < late
    });
}

/// Fills the budget of loads by the rate of the service that allows most: services
/// that load share one weight store.
fn refill(state: &mut DirectState, now: Millis) {
    let services = state.routing.iter().flat_map(|r| r.served());
    let rates = services.filter_map(|s| Some(s.engine.as_ref()?.load_rate));
    let rate = rates.max().unwrap_or(0);
    state.plan.budget.fill(now, rate);
}

/// Whether another load may begin within the published rate.
fn room(state: &DirectState, engine: &EngineSpec) -> bool {
    // Before the first request loads don't count; but what is under way when it
    // comes does not get cheaper.
    let few = state.plan.staging.len() < PARALLEL * engine.loads_at_once as usize;
    (fill::cheap(state) && few) || state.plan.budget.has_room()
}

fn give(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    model: &Arc<str>,
    load: bool,
    out: &mut Vec<Effect>,
) {
    let epoch = form::next_epoch(state);
    let step = GroupStep::Join {
        group: format!("{}{epoch}", survey::ALONE).into(),
        epoch,
        model: model.clone(),
        members: vec![id.clone()],
    };
    tell(state, now, id, model, load, step, out);
}

fn tell(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    model: &Arc<str>,
    load: bool,
    step: GroupStep,
    out: &mut Vec<Effect>,
) {
    let note = Note::new(NoteCode::StageOrdered)
        .with("endpoint", id)
        .with("model", model);
    out.push(Effect::Note(note));
    let hold = matches!(step, GroupStep::Join { .. });
    let staging = Staging {
        model: model.clone(),
        since: now,
        hold,
    };
    state.plan.staging.insert(id.clone(), staging);
    if load {
        state.plan.budget.take();
    }
    order::give(state, id, step, OrderUse::Stage(id.clone()), out);
}
