//! What stands: groups by place and by model.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::survey::{self, Place};
use super::value::{self, ModelNeed};
use super::GroupView;
use crate::logic::direct::DirectState;
use crate::types::{EngineModel, EngineSpec, Millis};

/// What stands, read once a look: each place is weighed by it.
pub(super) struct FleetView {
    /// Groups by place.
    pub(super) groups: BTreeMap<Place, Vec<(Arc<str>, GroupView)>>,
    /// Groups of each model by service, those that are being formed included.
    pub(super) counts: BTreeMap<Arc<str>, Vec<usize>>,
    /// What the models of each service need.
    pub(super) needs: BTreeMap<Arc<str>, Vec<ModelNeed>>,
}

impl FleetView {
    pub(super) fn of(state: &DirectState, now: Millis) -> Self {
        let mut groups: BTreeMap<Place, Vec<(Arc<str>, GroupView)>> = BTreeMap::new();
        for (name, group) in survey::groups(state) {
            let place = (group.service.clone(), group.domain.clone());
            groups.entry(place).or_default().push((name, group));
        }
        let standing = standing(state);
        let mut counts = BTreeMap::new();
        let mut needs = BTreeMap::new();
        for (service, spec) in state.routing.iter().flat_map(|r| &r.services) {
            if let Some(engine) = &spec.engine {
                counts.insert(service.clone(), counts_in(&standing, service, engine));
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

    /// Groups of each model of a service.
    pub(super) fn counts(&self, service: &Arc<str>) -> Vec<usize> {
        self.counts.get(service).cloned().unwrap_or_default()
    }
}

/// Groups of each model by place, those that are being formed included.
pub(super) fn standing(state: &DirectState) -> BTreeMap<(Place, Arc<str>), usize> {
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

/// Groups of each model of a service.
pub(super) fn counts(state: &DirectState, service: &Arc<str>, engine: &EngineSpec) -> Vec<usize> {
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
