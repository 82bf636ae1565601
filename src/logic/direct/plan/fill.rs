//! Decides which groups the free endpoints form.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::fleet_view::{counts_by_place, FleetView};
use super::mix::{best_mix, best_mix_now};
use super::survey::{self, Place};
use super::trade::{find_trade, has_pending_trade, try_trade};
use super::value::{readiness, readiness_by_model, worth, ModelNeed, COLD};
use super::{form, place, scheduled, PlacementInput, PlacementModel};
use crate::logic::direct::DirectState;
use crate::logic::Effect;
use crate::types::{EngineModel, EngineSpec, InstanceId, Millis};

/// Time without a change in the number of endpoints after which the initial placement is
/// made.
const SETTLED_MS: Millis = 500;

/// Time to join for an endpoint that has held the model just before.
const REJOIN_MS: Millis = 200;

/// Forms the groups that free endpoints can form, and looks for trades.
pub(super) fn on_tick(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let free = survey::hall_by_hall(state, survey::free(state));
    if is_initial_phase(state) {
        if now >= state.plan.engine_count.1 + SETTLED_MS {
            form_initial(state, now, free, out);
        }
        return;
    }
    let mut view = FleetView::of(state, now);
    for (place, free) in free {
        let Some(engine) = engine(state, &place.0) else {
            continue;
        };
        let pool = FreePool {
            place: &place,
            free: &free,
            engine: &engine,
        };
        form_best_mix(state, now, &mut view, &pool, out);
    }
    find_trade(state, now, &view, out);
}

/// The free endpoints of one service and domain.
pub(super) struct FreePool<'a> {
    /// Service and domain.
    pub(super) place: &'a Place,
    /// The endpoints.
    pub(super) free: &'a [InstanceId],
    /// Their engine.
    pub(super) engine: &'a EngineSpec,
}

/// Whether the whole system starts for the first time and no caller has come yet: loads
/// take nothing from callers then.
pub(super) fn is_initial_phase(state: &DirectState) -> bool {
    state.plan.first_start && !state.plan.has_traffic
}

/// The engine of a service, if it has one.
pub(super) fn engine(state: &DirectState, service: &Arc<str>) -> Option<EngineSpec> {
    let routing = state.routing.as_ref()?;
    routing.services.get(service)?.engine.clone()
}

/// The initial placement: how many groups of each model each place should have.
pub(super) fn targets(state: &DirectState) -> BTreeMap<(Place, Arc<str>), usize> {
    let mut sizes: BTreeMap<Place, usize> = BTreeMap::new();
    for (id, view) in &state.endpoints {
        if survey::is_usable(state, id, view) {
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
        let model = |m: &EngineModel| PlacementModel {
            size: m.size,
            share: m.share,
        };
        let input = PlacementInput {
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

/// Forms the groups of the initial placement for which enough endpoints need no load from
/// the weight store.
fn form_initial(
    state: &mut DirectState,
    now: Millis,
    free: Vec<(Place, Vec<InstanceId>)>,
    out: &mut Vec<Effect>,
) {
    let targets = targets(state);
    let mut counts = counts_by_place(state);
    for (place, mut free) in free {
        let Some(engine) = engine(state, &place.0) else {
            continue;
        };
        for model in &engine.models {
            let key = (place.clone(), model.name.clone());
            let wanted = targets.get(&key).copied().unwrap_or(0);
            let count = counts.entry(key).or_default();
            while *count < wanted {
                sort_by_readiness(state, &mut free, &model.name);
                let is_ready = |id: &InstanceId| readiness(state, id, &model.name) < COLD;
                if free.iter().take_while(|id| is_ready(id)).count() < model.size {
                    break;
                }
                *count += 1;
                let members = free.drain(..model.size).collect();
                let takes = model.warm_ms + engine.form_ms;
                form::begin(state, now, &place, model.name.clone(), members, takes, out);
            }
        }
    }
}

/// Forms the mix of groups that adds most to the service's worth, from endpoints that need
/// no load from the weight store.
fn form_best_mix(
    state: &mut DirectState,
    now: Millis,
    view: &mut FleetView,
    pool: &FreePool,
    out: &mut Vec<Effect>,
) {
    let FreePool {
        place,
        free,
        engine,
    } = *pool;
    if has_pending_trade(state, place) {
        return;
    }
    let counts = view.counts(&place.0);
    let readiness = readiness_by_model(state, free, engine);
    let mix = choose_mix(state, now, pool, view.needs(&place.0), &counts, &readiness);
    let Some((value, mix)) = mix else {
        return;
    };
    if try_trade(state, now, view, pool, value, out) {
        return;
    }
    for (n, members) in mix.into_iter().enumerate() {
        let model = &engine.models[n];
        if let Some(counts) = view.counts.get_mut(&place.0) {
            counts[n] += members.len();
        }
        for members in members {
            let must_load = members.iter().any(|member| readiness[*member][n] > 0);
            let join_ms = if must_load { model.warm_ms } else { REJOIN_MS };
            let members = members.iter().map(|n| free[*n].clone()).collect();
            let takes = join_ms + engine.form_ms;
            form::begin(state, now, place, model.name.clone(), members, takes, out);
        }
    }
}

/// The mix of groups that adds most. Endpoints that have waited in vain for others form what is
/// short, whatever else they could become.
fn choose_mix(
    state: &DirectState,
    now: Millis,
    pool: &FreePool,
    needs: &[ModelNeed],
    counts: &[usize],
    readiness: &[Vec<u8>],
) -> Option<(f64, Vec<Vec<Vec<usize>>>)> {
    let sizes: Vec<usize> = pool.engine.models.iter().map(|m| m.size).collect();
    let worth = worth(needs, counts);
    let best = best_mix(readiness, &sizes, &worth);
    if best.is_some() || !scheduled::has_waited_in_vain(state, now, pool) {
        return best;
    }
    let min_worth = worth(&vec![0; sizes.len()]) + scheduled::MIN_REASSIGNED_GAIN;
    let mix = best_mix_now(readiness, &sizes, &worth);
    mix.filter(|(value, _)| *value >= min_worth)
}

fn sort_by_readiness(state: &DirectState, free: &mut [InstanceId], model: &Arc<str>) {
    free.sort_by_key(|id| readiness(state, id, model));
}
