//! How ready endpoints are for models, and what groups are worth.

use std::sync::Arc;

use super::model_load::ModelLoad;
use super::readiness;
use crate::logic::direct::{demand, DirectState, Mechanism, ModelDemand};
use crate::types::{EngineModel, EngineSpec, InstanceId, Millis};

/// Readiness of an endpoint that has to load the model from the weight store.
pub(super) const COLD: u8 = 2;

/// What an endpoint must do to serve a model: nothing (0), load it from its host (1), or
/// load it from the weight store (`COLD`).
pub(super) fn readiness(state: &DirectState, id: &InstanceId, model: &Arc<str>) -> u8 {
    let Some(view) = state.endpoints.get(id) else {
        return COLD;
    };
    if view.last_model.as_ref() == Some(model) {
        0
    } else if view.entry.staged.contains(model) {
        1
    } else {
        COLD
    }
}

/// Readiness of each endpoint for each model, in this order of indices.
pub(super) fn readiness_by_model(
    state: &DirectState,
    ids: &[InstanceId],
    engine: &EngineSpec,
) -> Vec<Vec<u8>> {
    let for_models = |id: &InstanceId| {
        let for_model = |m: &EngineModel| readiness(state, id, &m.name);
        engine.models.iter().map(for_model).collect()
    };
    ids.iter().map(for_models).collect()
}

/// Groups that a model's published share of all instances amounts to, as a multiple of those
/// that it needs while demand is unknown: work comes unevenly, so further groups help.
const HEADROOM_FACTOR: f64 = 1.35;

/// Further worth of groups, as a part of the model's weight: this times the number of groups
/// divided by the needed number, counted up to 2. A group beyond the need serves a little sooner
/// and can be traded at once; it must add little compared with a needed one.
const SURPLUS_FACTOR: f64 = 0.03;

/// Part of what all instances would serve in time as groups of the model, from which on the
/// model has as many groups as it needs.
const ENOUGH_PART: f64 = 0.98;

/// Part of a model's weight that follows demand; the rest follows its published share. The
/// worth of a request isn't published, and a model with little demand has callers of its
/// own, whom no other model serves.
const DEMAND_FACTOR: f64 = 0.5;

/// Seconds from the loss of a member until its group serves again, without the load from
/// the host: detecting the loss, leaving, joining and opening. From the first order to the
/// open group alone it takes 0.7 s or more.
const REPAIR_S: f64 = 1.0;

/// Number of groups that one model needs, and what they are worth.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ModelNeed {
    /// Number of groups that serve nearly all that can be served in time.
    pub(super) groups: f64,
    /// Part of the service's worth that all work of the model has.
    pub(super) weight: f64,
    /// Part of the work that is served in time, by number of groups.
    parts: Vec<f64>,
}

impl ModelNeed {
    fn new(weight: f64, parts: Vec<f64>) -> Self {
        let max = parts.last().copied().unwrap_or(0.0);
        let groups = parts
            .iter()
            .position(|p| *p >= max * ENOUGH_PART)
            .unwrap_or(0) as f64;
        Self {
            groups,
            weight,
            parts,
        }
    }

    /// Part of the service's worth that this number of groups serves. Groups beyond the need
    /// add hardly anything.
    pub(super) fn served(&self, groups: usize) -> f64 {
        let last = self.parts.len().saturating_sub(1);
        let part = self.parts.get(groups.min(last)).copied().unwrap_or(0.0);
        let ratio = groups as f64 / self.groups.max(1.0);
        self.weight * (part + SURPLUS_FACTOR * ratio.min(2.0))
    }
}

/// What each model of a service needs: by demand, or by the published shares of all
/// instances until demand is known.
pub(super) fn needs(state: &DirectState, now: Millis, engine: &EngineSpec) -> Vec<ModelNeed> {
    let is_predicted = state.params.is_active(Mechanism::Trend, Some(engine));
    let demand = if is_predicted {
        demand::expected_demand(state, now)
    } else {
        demand::estimated_demand(state, now)
    };
    let value: u64 = engine
        .models
        .iter()
        .filter_map(|m| demand.get(&m.name))
        .map(|d| d.value)
        .sum();
    let known = demand::is_known(state, now);
    if value == 0 || !known || !state.params.is_enabled(Mechanism::Demand) {
        return needs_by_share(state, engine);
    }
    let shares: u64 = engine.models.iter().map(|m| m.share).sum();
    let loss_rate = readiness::loss_rate(state, now) / state.plan.engine_peak.max(1) as f64;
    let need = |m: &EngineModel| {
        let share = m.share as f64 / shares.max(1) as f64;
        let Some(demand) = demand.get(&m.name) else {
            return ModelNeed::new((1.0 - DEMAND_FACTOR) * share, vec![0.0]);
        };
        let weight =
            DEMAND_FACTOR * demand.value as f64 / value as f64 + (1.0 - DEMAND_FACTOR) * share;
        let load = model_load(engine, m, demand, loss_rate);
        let max_groups = state.plan.engine_peak / m.size;
        ModelNeed::new(weight, load.curve(max_groups))
    };
    engine.models.iter().map(need).collect()
}

/// The demand for a model in the units of its engine. `loss_rate` is the chance of one
/// instance to be lost in a second.
fn model_load(
    engine: &EngineSpec,
    model: &EngineModel,
    demand: &ModelDemand,
    loss_rate: f64,
) -> ModelLoad {
    let request_rate = demand.requests.max(1) as f64 / 1_000.0;
    let pace = model.pace as f64 / 1_000.0;
    let warm_s = model.warm_ms as f64 / 1_000.0;
    ModelLoad {
        request_rate,
        prompt_tokens: demand.prompt as f64 / request_rate,
        prompt_square: demand.square as f64 / request_rate,
        answer_tokens: demand.answer as f64 / request_rate,
        pause_ms: demand.pause as f64 / request_rate,
        first_ms: demand.first as f64 / request_rate,
        read_ms: pace * 1_000.0 / engine.read_rate.max(1) as f64,
        stride: f64::from(engine.stride),
        step_ms: pace * engine.step_us as f64 / 1_000.0,
        sequence_ms: pace * engine.per_request_ns as f64 / 1e6,
        slots: f64::from(engine.slots),
        loss_rate: loss_rate * model.size as f64,
        // About half of the members that replace a lost one hold the model already.
        repair_s: REPAIR_S + warm_s / 2.0,
    }
}

/// What each model needs while demand is unknown or not used: its published share of the work is
/// taken as its share of all instances.
fn needs_by_share(state: &DirectState, engine: &EngineSpec) -> Vec<ModelNeed> {
    let all = state.plan.engine_peak.max(1);
    let need = |m: &EngineModel| {
        let share = m.share as f64 / 1_000.0;
        let by_share = (all as f64 * share / m.size as f64).max(f64::EPSILON);
        let part = |n: usize| 1.0 - (1.0 - n as f64 / by_share).max(0.0).powi(2);
        let parts = (0..=all / m.size).map(part).collect();
        ModelNeed {
            groups: by_share / HEADROOM_FACTOR,
            weight: share,
            parts,
        }
    };
    engine.models.iter().map(need).collect()
}

/// Worth of a service as a function of a mix of groups that is added to its existing groups,
/// `counts`.
pub(super) fn worth<'a>(
    needs: &'a [ModelNeed],
    counts: &'a [usize],
) -> impl Fn(&[usize]) -> f64 + 'a {
    move |mix: &[usize]| {
        let parts = needs.iter().zip(counts).zip(mix);
        parts.map(|((need, c), n)| need.served(c + n)).sum()
    }
}
