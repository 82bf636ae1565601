//! Existing groups by place and by model, with what the models need.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::survey::{self, Place};
use super::value::{self, ModelNeed};
use super::GroupView;
use crate::logic::direct::DirectState;
use crate::types::{EngineModel, EngineSpec, Millis};

/// Existing groups and needs, read once in a planning pass for all its places.
pub(super) struct FleetView {
    /// Groups by place, without those in evacuated halls.
    pub(super) groups: BTreeMap<Place, Vec<(Arc<str>, GroupView)>>,
    /// Number of groups of each model by service: those being formed count, those ending
    /// don't.
    pub(super) counts: BTreeMap<Arc<str>, Vec<usize>>,
    /// What the models of each service need.
    pub(super) needs: BTreeMap<Arc<str>, Vec<ModelNeed>>,
}

impl FleetView {
    pub(super) fn of(state: &DirectState, now: Millis) -> Self {
        let mut groups: BTreeMap<Place, Vec<(Arc<str>, GroupView)>> = BTreeMap::new();
        let groups_now = survey::groups(state).into_iter();
        for (name, group) in groups_now.filter(|(_, g)| !survey::is_evacuated(state, g)) {
            let place = (group.service.clone(), group.domain.clone());
            groups.entry(place).or_default().push((name, group));
        }
        let counts_by_place = counts_by_place(state);
        let mut counts = BTreeMap::new();
        let mut needs = BTreeMap::new();
        for (service, spec) in state.routing.iter().flat_map(|r| &r.services) {
            if let Some(engine) = &spec.engine {
                counts.insert(
                    service.clone(),
                    counts_of(&counts_by_place, service, engine),
                );
                needs.insert(service.clone(), value::needs(state, now, engine));
            }
        }
        Self {
            groups,
            counts,
            needs,
        }
    }

    /// What each model of a service needs.
    pub(super) fn needs(&self, service: &Arc<str>) -> &[ModelNeed] {
        self.needs.get(service).map_or(&[], Vec::as_slice)
    }

    /// Number of groups of each model of a service.
    pub(super) fn counts(&self, service: &Arc<str>) -> Vec<usize> {
        self.counts.get(service).cloned().unwrap_or_default()
    }
}

/// Number of groups of each model by place: those being formed count, those ending and those in
/// evacuated halls don't.
pub(super) fn counts_by_place(state: &DirectState) -> BTreeMap<(Place, Arc<str>), usize> {
    let mut counts: BTreeMap<(Place, Arc<str>), usize> = BTreeMap::new();
    for (name, group) in survey::groups(state) {
        if survey::is_evacuated(state, &group) {
            continue;
        }
        let is_ending = state.plan.ending.contains_key(&name);
        let is_forming = state.plan.forming.contains_key(&name);
        if let (false, false, Some(model)) = (is_ending, is_forming, group.model) {
            *counts
                .entry(((group.service, group.domain), model))
                .or_default() += 1;
        }
    }
    for f in state.plan.forming.values() {
        let place = (f.service.clone(), f.domain.clone());
        *counts.entry((place, f.model.clone())).or_default() += 1;
    }
    counts
}

/// Number of groups of each model of a service.
pub(super) fn counts(state: &DirectState, service: &Arc<str>, engine: &EngineSpec) -> Vec<usize> {
    counts_of(&counts_by_place(state), service, engine)
}

fn counts_of(
    counts_by_place: &BTreeMap<(Place, Arc<str>), usize>,
    service: &Arc<str>,
    engine: &EngineSpec,
) -> Vec<usize> {
    let count = |m: &EngineModel| {
        let of_model = counts_by_place
            .iter()
            .filter(|((p, name), _)| p.0 == *service && *name == m.name);
        of_model.map(|(_, n)| n).sum()
    };
    engine.models.iter().map(count).collect()
}
