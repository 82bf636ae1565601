//! Decides which groups free endpoints form.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::fleet_view::{standing, FleetView};
use super::mix::best_mix;
use super::survey::{self, Place};
use super::trade::{awaits_trade, trade, trades};
use super::value::{able, readiness, worth, COLD};
use super::{form, place, PlaceInput, PlaceModel};
use crate::logic::direct::DirectState;
use crate::logic::Effect;
use crate::types::{EngineModel, EngineSpec, InstanceId, Millis};

/// Time without a new endpoint after which the first placement is made.
const SETTLED_MS: Millis = 500;

/// Time of a join where the endpoint held the model just before.
const AGAIN_MS: Millis = 200;

/// Forms what can be formed.
pub(super) fn tend(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let free = survey::free(state);
    if cheap(state) {
        if now >= state.plan.count.1 + SETTLED_MS {
            first(state, now, free, out);
        }
        return;
    }
    let mut view = FleetView::of(state, now);
    for (place, free) in free {
        let Some(engine) = engine(state, &place.0) else {
            continue;
        };
        let at = Offer {
            place: &place,
            free: &free,
            engine: &engine,
        };
        repair(state, now, &mut view, &at, out);
    }
    trades(state, now, &view, out);
}

/// Free endpoints of one service and domain.
pub(super) struct Offer<'a> {
    /// Where they are.
    pub(super) place: &'a Place,
    /// The endpoints.
    pub(super) free: &'a [InstanceId],
    /// Their engine.
    pub(super) engine: &'a EngineSpec,
}

/// Whether loads are cheap: the system is new and no caller has come yet.
pub(super) fn cheap(state: &DirectState) -> bool {
    state.plan.first && !state.plan.traffic
}

/// The engine of a service.
pub(super) fn engine(state: &DirectState, service: &Arc<str>) -> Option<EngineSpec> {
    let routing = state.routing.as_ref()?;
    routing.services.get(service)?.engine.clone()
}

/// The placement to aim at: groups of each model, by place.
pub(super) fn targets(state: &DirectState) -> BTreeMap<(Place, Arc<str>), usize> {
    let mut sizes: BTreeMap<Place, usize> = BTreeMap::new();
    for (id, view) in &state.endpoints {
        if survey::usable(state, id, view) {
            let place = (view.entry.service.clone(), view.entry.domain.clone());
            *sizes.entry(place).or_default() += 1;
        }
    }
    let mut targets = BTreeMap::new();
    let services: std::collections::BTreeSet<_> = sizes.keys().map(|p| p.0.clone()).collect();
    for service in services {
        let Some(engine) = engine(state, &service) else {
            continue;
        };
        let places: Vec<_> = sizes.iter().filter(|(p, _)| p.0 == service).collect();
        let model = |m: &EngineModel| PlaceModel {
            size: m.size,
            share: m.share,
        };
        let input = PlaceInput {
            domains: places.iter().map(|(_, n)| **n).collect(),
            models: engine.models.iter().map(model).collect(),
        };
        for ((place, _), mix) in places.iter().zip(place(&input)) {
            for (model, count) in engine.models.iter().zip(mix) {
                targets.insert(((*place).clone(), model.name.clone()), count);
            }
        }
    }
    targets
}

/// The first placement, from endpoints that hold what they need.
fn first(
    state: &mut DirectState,
    now: Millis,
    free: BTreeMap<Place, Vec<InstanceId>>,
    out: &mut Vec<Effect>,
) {
    let targets = targets(state);
    let mut standing = standing(state);
    for (place, mut free) in free {
        let Some(engine) = engine(state, &place.0) else {
            continue;
        };
        for model in &engine.models {
            let key = (place.clone(), model.name.clone());
            let wanted = targets.get(&key).copied().unwrap_or(0);
            let stands = standing.entry(key).or_default();
            while *stands < wanted {
                sort(state, &mut free, &model.name);
                let ready = |id: &InstanceId| readiness(state, id, &model.name) < COLD;
                if free.iter().take_while(|id| ready(id)).count() < model.size {
                    break;
                }
                *stands += 1;
                let members = free.drain(..model.size).collect();
                let takes = model.warm_ms + engine.form_ms;
                form::begin(state, now, &place, model.name.clone(), members, takes, out);
            }
        }
    }
}

/// Forms groups from endpoints that need no load from the weight store: the mix
/// that adds most to what the service can do.
fn repair(
    state: &mut DirectState,
    now: Millis,
    view: &mut FleetView,
    at: &Offer,
    out: &mut Vec<Effect>,
) {
    let Offer {
        place,
        free,
        engine,
    } = *at;
    if awaits_trade(state, place) {
        return;
    }
    let counts = view.counts(&place.0);
    let able = able(state, free, engine);
    let sizes: Vec<usize> = engine.models.iter().map(|m| m.size).collect();
    let mix = best_mix(&able, &sizes, worth(view.needs(&place.0), &counts));
    let Some((value, mix)) = mix else {
        return;
    };
    if trade(state, now, view, at, value, out) {
        return;
    }
    for (n, members) in mix.into_iter().enumerate() {
        let model = &engine.models[n];
        if let Some(counts) = view.counts.get_mut(&place.0) {
            counts[n] += members.len();
        }
        for members in members {
            let warm = members.iter().any(|member| able[*member][n] > 0);
            let load = if warm { model.warm_ms } else { AGAIN_MS };
            let members = members.iter().map(|n| free[*n].clone()).collect();
            let takes = load + engine.form_ms;
            form::begin(state, now, place, model.name.clone(), members, takes, out);
        }
    }
}

fn sort(state: &DirectState, free: &mut [InstanceId], model: &Arc<str>) {
    free.sort_by_key(|id| readiness(state, id, model));
}
