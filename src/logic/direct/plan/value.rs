//! What endpoints can do, and what groups are worth.

use std::sync::Arc;

use super::mix::use_of;
use crate::logic::direct::DirectState;
use crate::types::{EngineModel, EngineSpec, InstanceId};

/// Readiness of an endpoint that has to load from the weight store.
pub(super) const COLD: u8 = 2;

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

/// Readiness of endpoints for each model.
pub(super) fn able(state: &DirectState, ids: &[InstanceId], engine: &EngineSpec) -> Vec<Vec<u8>> {
    let one = |id: &InstanceId| {
        let ready = |m: &EngineModel| readiness(state, id, &m.name);
        engine.models.iter().map(ready).collect()
    };
    ids.iter().map(one).collect()
}

/// Worth of a service with some groups of each model, and a mix beside.
pub(super) fn worth<'a>(
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
