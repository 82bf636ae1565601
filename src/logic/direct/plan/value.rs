//! What endpoints can do, and what groups are worth.

use std::sync::Arc;

use crate::logic::direct::{demand, DirectState, Mechanism};
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

/// Times the reckoned need up to which one more group still helps: work comes unevenly,
/// and a group that is full serves late. A choice; other values were not measured.
const HEADROOM: f64 = 1.35;

/// What each further group still adds beyond that, against all that are needed: it
/// serves a little sooner, and can be given up for another one at once. Small against
/// what a needed group adds; measured in docs/ROUNDS.md.
const SURPLUS: f64 = 0.03;

/// Part of a model's weight that goes by what is asked of it; the rest goes by its
/// published share. What a request is worth isn't published, and a model that is
/// seldom asked has callers of its own, who are served by nothing else. Measured in
/// docs/ROUNDS.md against tokens alone.
const ASKED: f64 = 0.5;

/// What groups of one model have to do, and what that counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ModelNeed {
    /// Groups that the work takes, were it even.
    pub(super) groups: f64,
    /// Part of the service's worth that the model's work is.
    pub(super) weight: f64,
}

impl ModelNeed {
    /// Part of the service's worth that so many groups serve: ever less for each one
    /// more, and none beyond the need with its headroom.
    pub(super) fn served(&self, groups: usize) -> f64 {
        let enough = (self.groups * HEADROOM).max(f64::EPSILON);
        let ratio = groups as f64 / enough;
        let short = (1.0 - ratio).max(0.0);
        self.weight * (1.0 - short * short + SURPLUS * ratio.min(2.0))
    }
}

/// What each model of a service needs: by what callers ask for, and by the published
/// shares of all instances until that is known.
pub(super) fn needs(state: &DirectState, now: Millis, engine: &EngineSpec) -> Vec<ModelNeed> {
    let demand = demand::all(state, now);
    let of = |m: &EngineModel| demand.get(&m.name).map_or((0, 0), |d| (d.work, d.value));
    let value: u64 = engine.models.iter().map(|m| of(m).1).sum();
    let known = demand::known(state, now);
    if value == 0 || !known || !state.knobs.on(Mechanism::Demand) {
        return published(state, engine);
    }
    let shares: u64 = engine.models.iter().map(|m| m.share).sum();
    let need = |m: &EngineModel| {
        let asked = of(m).1 as f64 / value as f64;
        let share = m.share as f64 / shares.max(1) as f64;
        ModelNeed {
            groups: of(m).0 as f64 / 1e6,
            weight: ASKED * asked + (1.0 - ASKED) * share,
        }
    };
    engine.models.iter().map(need).collect()
}

fn published(state: &DirectState, engine: &EngineSpec) -> Vec<ModelNeed> {
    let all = state.plan.most.max(1) as f64;
    let need = |m: &EngineModel| {
        let share = m.share as f64 / 1_000.0;
        ModelNeed {
            groups: all * share / m.size as f64 / HEADROOM,
            weight: share,
        }
    };
    engine.models.iter().map(need).collect()
}

/// Worth of a service with some groups of each model, and a mix beside.
pub(super) fn worth<'a>(
    state: &DirectState,
    now: Millis,
    engine: &EngineSpec,
    counts: &'a [usize],
) -> impl Fn(&[usize]) -> f64 + 'a {
    let needs = needs(state, now, engine);
    move |mix: &[usize]| {
        let parts = needs.iter().zip(counts).zip(mix);
        parts.map(|((need, c), n)| need.served(c + n)).sum()
    }
}
