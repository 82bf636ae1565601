//! Which models have least of the groups that they need.

use std::sync::Arc;

use super::fleet_view::counts;
use crate::logic::direct::DirectState;
use crate::types::{EngineModel, EngineSpec};

/// Part, in hundredths, of what another model has that one has at most which is
/// clearly short of groups.
const CLEARLY: u64 = 70;

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

fn index(engine: &EngineSpec, model: &EngineModel) -> usize {
    let here = engine.models.iter().position(|m| m.name == model.name);
    here.unwrap_or(0)
}
