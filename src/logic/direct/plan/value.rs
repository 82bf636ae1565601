//! What endpoints can do, and what groups are worth.

use std::sync::Arc;

use super::cover;
use super::model_load::ModelLoad;
use crate::logic::direct::{demand, DirectState, Mechanism, ModelDemand};
use crate::types::{EngineModel, EngineSpec, InstanceId, Millis};

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

/// Times the published share up to which one more group still helps, while nothing else
/// is known: work comes unevenly. A choice; other values were not measured.
const HEADROOM: f64 = 1.35;

/// What each further group still adds beyond that, against all that are needed: it
/// serves a little sooner, and can be given up for another one at once. Small against
/// what a needed group adds; measured in docs/ROUNDS.md.
const SURPLUS: f64 = 0.03;

/// Part of what all groups together would serve in time from which on a model has as
/// many groups as it needs.
const ENOUGH: f64 = 0.98;

/// Part of a model's weight that goes by what is asked of it; the rest goes by its
/// published share. What a request is worth isn't published, and a model that is
/// seldom asked has callers of its own, who are served by nothing else. Measured in
/// docs/ROUNDS.md against tokens alone.
const ASKED: f64 = 0.5;

/// Seconds from the death of a member until its group serves again, beside the load from
/// the host: found, left, joined and opened. A choice near the 0.7 s and more that logs
/// show from the first order to the open group.
const REPAIR_S: f64 = 1.0;

/// What groups of one model have to do, and what that counts.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ModelNeed {
    /// Groups that serve nearly all that can be served.
    pub(super) groups: f64,
    /// Part of the service's worth that the model's work is.
    pub(super) weight: f64,
    /// Part of the work that so many groups do, by their number.
    parts: Vec<f64>,
}

impl ModelNeed {
    fn new(weight: f64, parts: Vec<f64>) -> Self {
        let most = parts.last().copied().unwrap_or(0.0);
        let groups = parts.iter().position(|p| *p >= most * ENOUGH).unwrap_or(0) as f64;
        Self {
            groups,
            weight,
            parts,
        }
    }

    /// Part of the service's worth that so many groups serve: ever less for each one
    /// more, and hardly any beyond the need.
    pub(super) fn served(&self, groups: usize) -> f64 {
        let last = self.parts.len().saturating_sub(1);
        let part = self.parts.get(groups.min(last)).copied().unwrap_or(0.0);
        let ratio = groups as f64 / self.groups.max(1.0);
        self.weight * (part + SURPLUS * ratio.min(2.0))
    }
}

/// What each model of a service needs: by what callers ask for, and by the published
/// shares of all instances until that is known.
pub(super) fn needs(state: &DirectState, now: Millis, engine: &EngineSpec) -> Vec<ModelNeed> {
    let demand = demand::estimated_demand(state, now);
    let value: u64 = engine
        .models
        .iter()
        .filter_map(|m| demand.get(&m.name))
        .map(|d| d.value)
        .sum();
    let known = demand::is_known(state, now);
    if value == 0 || !known || !state.knobs.on(Mechanism::Demand) {
        return published(state, engine);
    }
    let shares: u64 = engine.models.iter().map(|m| m.share).sum();
    let deaths = cover::death_rate(state, now) / state.plan.most.max(1) as f64;
    let need = |m: &EngineModel| {
        let share = m.share as f64 / shares.max(1) as f64;
        let Some(asked) = demand.get(&m.name) else {
            return ModelNeed::new((1.0 - ASKED) * share, vec![0.0]);
        };
        let weight = ASKED * asked.value as f64 / value as f64 + (1.0 - ASKED) * share;
        let load = load(engine, m, asked, deaths);
        let most = state.plan.most / m.size;
        ModelNeed::new(weight, load.curve(most))
    };
    engine.models.iter().map(need).collect()
}

/// What a model is asked for, in the terms of its engine.
fn load(engine: &EngineSpec, model: &EngineModel, asked: &ModelDemand, deaths: f64) -> ModelLoad {
    let requests = asked.requests.max(1) as f64 / 1_000.0;
    let pace = model.pace as f64 / 1_000.0;
    let warm_s = model.warm_ms as f64 / 1_000.0;
    ModelLoad {
        requests,
        prompt: asked.prompt as f64 / requests,
        square: asked.square as f64 / requests,
        answer: asked.answer as f64 / requests,
        pause_ms: asked.pause as f64 / requests,
        first_ms: asked.first as f64 / requests,
        read_ms: pace * 1_000.0 / engine.read_rate.max(1) as f64,
        stride: f64::from(engine.stride),
        step_ms: pace * engine.step_us as f64 / 1_000.0,
        sequence_ms: pace * engine.per_request_ns as f64 / 1e6,
        slots: f64::from(engine.slots),
        losses: deaths * model.size as f64,
        // About half of the members that take a place hold the model already.
        repair_s: REPAIR_S + warm_s / 2.0,
    }
}

fn published(state: &DirectState, engine: &EngineSpec) -> Vec<ModelNeed> {
    let all = state.plan.most.max(1);
    let need = |m: &EngineModel| {
        let share = m.share as f64 / 1_000.0;
        let enough = (all as f64 * share / m.size as f64).max(f64::EPSILON);
        let part = |n: usize| 1.0 - (1.0 - n as f64 / enough).max(0.0).powi(2);
        let parts = (0..=all / m.size).map(part).collect();
        ModelNeed {
            groups: enough / HEADROOM,
            weight: share,
            parts,
        }
    };
    engine.models.iter().map(need).collect()
}

/// Worth of a service with some groups of each model, and a mix beside.
pub(super) fn worth<'a>(
    needs: &'a [ModelNeed],
    counts: &'a [usize],
) -> impl Fn(&[usize]) -> f64 + 'a {
    move |mix: &[usize]| {
        let parts = needs.iter().zip(counts).zip(mix);
        parts.map(|((need, c), n)| need.served(c + n)).sum()
    }
}
