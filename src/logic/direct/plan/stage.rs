//! Decides which model spares hold ready.
//!
//! A spare joins a group of its own, which never opens: whoever has held a
//! model joins a group of that model almost at once.

use std::sync::Arc;

use super::survey::{self, Place};
use super::{fill, form, order, OrderUse};
use crate::logic::direct::{DirectState, GroupStep};
use crate::logic::{Effect, Note, NoteCode};
use crate::types::{EngineModel, EngineSpec, InstanceId, Millis};

/// Span over which loads are counted.
const WINDOW_MS: Millis = 5_000;

/// Time after which an order to load that shows no effect is given again.
const AGAIN_MS: Millis = 3_000;

/// Tells spares that hold no model to hold one.
pub(super) fn tend(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    if fill::cheap(state) && !state.plan.forming.is_empty() {
        return;
    }
    forget(state, now);
    for (place, free) in survey::free(state) {
        let Some(engine) = fill::engine(state, &place.0) else {
            continue;
        };
        for id in &free {
            let idle = !state.plan.staging.contains_key(id);
            if !idle || holds_any(state, id, &engine, 0) {
                continue;
            }
            let warm = holds_any(state, id, &engine, 1);
            if !warm && !room(state, &engine) {
                continue;
            }
            if let Some(model) = choose(state, &place, &free, id, &engine) {
                give(state, now, id, &model.name, !warm, out);
            }
        }
    }
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
    state.plan.staging.retain(|id, (model, since)| {
        let view = endpoints.get(id);
        let waits = view.is_some_and(|v| v.entry.model.as_ref() != Some(model));
        waits && now < *since + 2 * load(id, model) + AGAIN_MS
    });
    while state
        .plan
        .loads
        .front()
        .is_some_and(|at| now >= at + WINDOW_MS)
    {
        state.plan.loads.pop_front();
    }
}

/// Whether an endpoint is this ready for any model.
fn holds_any(state: &DirectState, id: &InstanceId, engine: &EngineSpec, ready: u8) -> bool {
    let holds = |m: &EngineModel| fill::readiness(state, id, &m.name) <= ready;
    engine.models.iter().any(holds)
}

/// Whether another load may begin within the published rate.
fn room(state: &DirectState, engine: &EngineSpec) -> bool {
    let most = engine.load_rate * WINDOW_MS / 1_000_000;
    fill::cheap(state) || (state.plan.loads.len() as u64) < most
}

/// The model that a spare of this place is most likely to be needed for.
fn choose(
    state: &DirectState,
    place: &Place,
    free: &[InstanceId],
    id: &InstanceId,
    engine: &EngineSpec,
) -> Option<EngineModel> {
    let warm = |m: &&EngineModel| fill::readiness(state, id, &m.name) < fill::COLD;
    if let Some(model) = engine.models.iter().find(warm) {
        return Some(model.clone());
    }
    let ready = |m: &EngineModel| {
        let staged = |id: &&InstanceId| {
            let told = state.plan.staging.get(*id).map(|(name, _)| name);
            told == Some(&m.name) || fill::readiness(state, id, &m.name) < fill::COLD
        };
        free.iter().filter(staged).count()
    };
    let groups = |m: &EngineModel| {
        let here = |v: &&crate::logic::direct::EndpointView| {
            v.heads() && v.entry.domain == place.1 && v.entry.model.as_ref() == Some(&m.name)
        };
        state.endpoints.values().filter(here).count()
    };
    let by_need = fill::by_need(state, &place.0, engine);
    // Members that could need this spare, for each spare that is ready already.
    let use_of = |m: &EngineModel| groups(m) * m.size * 1_000 / (ready(m) + 1);
    by_need
        .into_iter()
        .enumerate()
        .max_by_key(|(i, m)| (use_of(m), usize::MAX - i))
        .map(|(_, m)| m)
}

fn give(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    model: &Arc<str>,
    load: bool,
    out: &mut Vec<Effect>,
) {
    let note = Note::new(NoteCode::StageOrdered)
        .with("endpoint", id)
        .with("model", model);
    out.push(Effect::Note(note));
    state.plan.staging.insert(id.clone(), (model.clone(), now));
    if load {
        state.plan.loads.push_back(now);
    }
    let epoch = form::next_epoch(state);
    let step = GroupStep::Join {
        group: format!("{}{epoch}", survey::ALONE).into(),
        epoch,
        model: model.clone(),
        members: vec![id.clone()],
    };
    order::give(state, now, id, step, OrderUse::Stage(id.clone()), out);
}
