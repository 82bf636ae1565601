//! Decides which model spares hold ready on their hosts.

use std::sync::Arc;

use super::survey::{self, Place};
use super::{fill, order, OrderUse};
use crate::logic::direct::{DirectState, GroupStep};
use crate::logic::{Effect, Note, NoteCode};
use crate::types::{EngineModel, EngineSpec, InstanceId, Millis};

/// Span over which loads are counted.
const WINDOW_MS: Millis = 5_000;

/// Time after which an order to load that shows no effect is given again.
const AGAIN_MS: Millis = 3_000;

/// Tells spares without a useful model to load one.
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
            if idle && !holds_any(state, id, &engine) && room(state, now, &engine) {
                if let Some(model) = choose(state, &place, &free, &engine) {
                    give(state, now, id, &model.name, out);
                }
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
        let waits = view.is_some_and(|v| !v.entry.staged.contains(model));
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

fn holds_any(state: &DirectState, id: &InstanceId, engine: &EngineSpec) -> bool {
    let cold = |m: &EngineModel| fill::readiness(state, id, &m.name) == fill::COLD;
    !engine.models.iter().all(cold)
}

/// Whether another load may begin within the published rate.
fn room(state: &DirectState, _now: Millis, engine: &EngineSpec) -> bool {
    let most = engine.load_rate * WINDOW_MS / 1_000_000;
    fill::cheap(state) || (state.plan.loads.len() as u64) < most
}

/// The model that a spare of this place is most likely to be needed for.
fn choose(
    state: &DirectState,
    place: &Place,
    free: &[InstanceId],
    engine: &EngineSpec,
) -> Option<EngineModel> {
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
    out: &mut Vec<Effect>,
) {
    let note = Note::new(NoteCode::StageOrdered)
        .with("endpoint", id)
        .with("model", model);
    out.push(Effect::Note(note));
    state.plan.staging.insert(id.clone(), (model.clone(), now));
    state.plan.loads.push_back(now);
    let step = GroupStep::Stage {
        model: model.clone(),
    };
    order::give(state, now, id, step, OrderUse::Stage(id.clone()), out);
}
