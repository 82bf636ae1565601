//! Decides which models endpoints load in advance.
//!
//! A spare without a model is ordered to join a group of its own, which never opens: an
//! endpoint that already holds a model joins a group of that model almost at once. Any
//! endpoint that holds a model may be ordered to load a second one to its host.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::readiness::{self, ServiceReadiness, MIN_LOAD_VALUE};
use super::survey::{self, Place};
use super::{fill, form, known_loads, order, scheduled, value, OrderUse, StagedLoad};
use crate::logic::direct::{demand, DirectState, EndpointView, GroupStep, Mechanism};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::{EngineSpec, InstanceId, Millis};

/// Time beyond twice the load time after which an order to load that shows no effect may
/// be given again.
pub(super) const LOAD_SLACK_MS: Millis = 3_000;

/// Loads that may be under way in the initial phase, as a multiple of those that run at
/// full speed together.
const INITIAL_LOADS_FACTOR: usize = 3;

/// Orders that wait or are unanswered, from which on spares get no orders to load; a quarter of it holds for
/// second models. Forming groups has priority, and each order costs this router time.
const MAX_PENDING_ORDERS: usize = 256;

/// Orders endpoints to load models in advance.
pub(super) fn on_tick(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    forget_finished(state, now);
    refill_budget(state, now);
    if order::count_pending(state) < MAX_PENDING_ORDERS
        && state.params.is_enabled(Mechanism::Spares)
    {
        stage_spares(state, now, out);
    }
    if order::count_pending(state) < MAX_PENDING_ORDERS / 4
        && state.params.is_enabled(Mechanism::SecondModels)
    {
        stage_second_models(state, now, out);
    }
    if order::count_pending(state) < MAX_PENDING_ORDERS {
        scheduled::on_tick(state, now, out);
    }
}

/// Orders spares that hold no model to hold one.
fn stage_spares(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let mut services: BTreeMap<Arc<str>, Option<ServiceReadiness>> = BTreeMap::new();
    for (place, free) in survey::hall_by_hall(state, survey::free(state)) {
        let readiness = services
            .entry(place.0.clone())
            .or_insert_with(|| ServiceReadiness::of(state, now, &place.0));
        let Some(readiness) = readiness else {
            continue;
        };
        for id in &free {
            let is_idle = !state.plan.staging.contains_key(id);
            let view = state.endpoints.get(id);
            // An order to hold its model again would evict the second one from its host.
            let has_model = view.is_some_and(|v| v.last_model.is_some());
            if !is_idle || has_model {
                continue;
            }
            let warm = warm_model(state, id, &readiness.engine);
            // An endpoint that started before this router knew the list may hold a model
            // that this router doesn't know of, and would lose it.
            if warm.is_some() && !view.is_some_and(|v| v.seen_start) {
                continue;
            }
            let is_scheduled = scheduled::is_active(state, &readiness.engine);
            if warm.is_none() && (is_scheduled || !can_load(state, &readiness.engine)) {
                continue;
            }
            let model = warm.or_else(|| choose_model(state, &place, &free, readiness));
            let adds = |m: &usize| readiness.adds(&place.1, *m) || !demand::is_known(state, now);
            let model = model.filter(|m| warm.is_some() || adds(m));
            if let Some(m) = model {
                let name = readiness.engine.models[m].name.clone();
                readiness.add_load(&place.1, m, true);
                send_hold_order(state, now, id, &name, warm.is_none(), out);
            }
        }
    }
}

/// The readiest of the models that the endpoint can serve without a load from the weight
/// store.
fn warm_model(state: &DirectState, id: &InstanceId, engine: &EngineSpec) -> Option<usize> {
    let ready = |m: usize| value::readiness(state, id, &engine.models[m].name);
    let warm = (0..engine.models.len()).filter(|m| ready(*m) < value::COLD);
    warm.min_by_key(|m| ready(*m))
}

/// The model that a spare without any should load. In the initial phase, or while the
/// service has no group, this is the one with the fewest ready spares in the domain for its
/// published share; otherwise the one whose load adds most.
fn choose_model(
    state: &DirectState,
    place: &Place,
    free: &[InstanceId],
    readiness: &ServiceReadiness,
) -> Option<usize> {
    let models = &readiness.engine.models;
    if readiness.has_no_groups() || fill::is_initial_phase(state) {
        let ready_by_share = |m: &usize| {
            let ready = free
                .iter()
                .filter(|id| readiness::is_ready_or_loading(state, id, &models[*m].name));
            ready.count() as u64 * 1_000_000 / models[*m].share.max(1)
        };
        return (0..models.len()).min_by_key(ready_by_share);
    }
    let value = |m: usize| readiness.load_value(&place.1, m, true);
    (0..models.len()).max_by(|a, b| value(*a).total_cmp(&value(*b)))
}

/// Orders endpoints to load a second model to their hosts, as long as a load adds enough.
/// A member keeps the model of its group while its host holds the other one, so that the
/// survivors of a group can serve either.
fn stage_second_models(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let free: BTreeSet<InstanceId> = survey::free(state).into_values().flatten().collect();
    let services: BTreeSet<Arc<str>> = state
        .endpoints
        .values()
        .map(|v| v.entry.service.clone())
        .collect();
    for service in services {
        if fill::engine(state, &service).is_some_and(|e| scheduled::is_active(state, &e)) {
            continue;
        }
        let Some(mut readiness) = ServiceReadiness::of(state, now, &service) else {
            continue;
        };
        loop {
            let is_full = state.plan.staging.len() as u32 >= readiness.engine.loads_at_once;
            if is_full || !can_load(state, &readiness.engine) {
                break;
            }
            let Some((id, m)) = best_load(state, &service, &readiness, &free) else {
                break;
            };
            let Some(domain) = state.endpoints.get(&id).map(|v| v.entry.domain.clone()) else {
                break;
            };
            readiness.add_load(&domain, m, free.contains(&id));
            let model = readiness.engine.models[m].name.clone();
            send_stage_order(state, now, &id, &model, out);
        }
    }
}

/// The endpoint and the second model whose load adds most, if any adds enough.
fn best_load(
    state: &DirectState,
    service: &Arc<str>,
    readiness: &ServiceReadiness,
    free: &BTreeSet<InstanceId>,
) -> Option<(InstanceId, usize)> {
    let mut best: Option<(f64, InstanceId, usize)> = None;
    for (id, view) in &state.endpoints {
        let is_loading = state.plan.staging.contains_key(id);
        let Some(held) = view.last_model.as_ref().filter(|_| !is_loading) else {
            continue;
        };
        // Hosts keep few models: a second one that is already there isn't evicted.
        let has_second = view.entry.staged.iter().any(|m| m != held);
        if has_second || view.entry.service != *service || !survey::is_usable(state, id, view) {
            continue;
        }
        for (m, model) in readiness.engine.models.iter().enumerate() {
            if model.name == *held {
                continue;
            }
            let value = readiness.load_value(&view.entry.domain, m, free.contains(id));
            if value > best.as_ref().map_or(MIN_LOAD_VALUE, |b| b.0) {
                best = Some((value, id.clone(), m));
            }
        }
    }
    best.map(|(_, id, m)| (id, m))
}

/// Forgets loads that have finished, and orders that have shown no effect in time.
fn forget_finished(state: &mut DirectState, now: Millis) {
    let endpoints = &state.endpoints;
    let routing = state.routing.clone();
    let load_ms = |id: &InstanceId, model: &Arc<str>| {
        let service = endpoints.get(id).map(|v| v.entry.service.clone());
        let engine = service.and_then(|s| routing.as_ref()?.services.get(&s)?.engine.as_ref());
        engine.and_then(|e| e.model(model)).map_or(0, |m| m.load_ms)
    };
    let is_running = |id: &InstanceId, staging: &StagedLoad| {
        let view = endpoints.get(id);
        let is_held = |v: &EndpointView| v.entry.model.as_ref() == Some(&staging.model);
        let is_on_host = |v: &EndpointView| v.entry.staged.contains(&staging.model);
        let is_loading = |v: &EndpointView| !(is_held(v) || (!staging.hold && is_on_host(v)));
        let deadline = staging.since + 2 * load_ms(id, &staging.model) + LOAD_SLACK_MS;
        view.is_some_and(is_loading) && now < deadline
    };
    let plan = &mut state.plan;
    plan.staging.retain(|id, load| is_running(id, load));
    let detached = &mut plan.detached_loads;
    detached.retain(|id, load| now < load.due && is_running(id, load));
}

/// Refills the load budget at the highest load rate of any service: all services load
/// from one weight store.
fn refill_budget(state: &mut DirectState, now: Millis) {
    let services = state.routing.iter().flat_map(|r| r.served());
    let rates = services.filter_map(|s| Some(s.engine.as_ref()?.load_rate));
    let rate = rates.max().unwrap_or(0);
    state.plan.budget.fill(now, rate);
}

/// Whether another load from the weight store may begin.
pub(super) fn can_load(state: &DirectState, engine: &EngineSpec) -> bool {
    // In the initial phase the published rate doesn't apply. The loads under way are bounded
    // all the same: those that last beyond the first request cost as much as any other.
    let few = state.plan.staging.len() < INITIAL_LOADS_FACTOR * engine.loads_at_once as usize;
    (fill::is_initial_phase(state) && few) || state.plan.budget.has_room()
}

/// Orders a spare to hold a model, by joining a group of its own. `is_cold` says whether it
/// has to load the model from the weight store.
pub(super) fn send_hold_order(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    model: &Arc<str>,
    is_cold: bool,
    out: &mut Vec<Effect>,
) {
    let epoch = form::next_epoch(state);
    let step = GroupStep::Join {
        group: format!("{}{epoch}", survey::ALONE_PREFIX).into(),
        epoch,
        model: model.clone(),
        members: vec![id.clone()],
    };
    send_load_order(state, now, id, model, is_cold, step, out);
}

/// Orders an endpoint to load a model from the weight store to its host.
pub(super) fn send_stage_order(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    model: &Arc<str>,
    out: &mut Vec<Effect>,
) {
    let step = GroupStep::Stage {
        model: model.clone(),
    };
    send_load_order(state, now, id, model, true, step, out);
}

fn send_load_order(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    model: &Arc<str>,
    is_cold: bool,
    step: GroupStep,
    out: &mut Vec<Effect>,
) {
    let event = LogEvent::new(LogCode::StageOrdered)
        .with("endpoint", id)
        .with("model", model);
    out.push(Effect::Log(event));
    let hold = matches!(step, GroupStep::Join { .. });
    let staging = StagedLoad {
        model: model.clone(),
        since: now,
        hold,
        cold: is_cold,
        due: scheduled::on_load_begun(state, now, id, model, is_cold),
    };
    state.plan.staging.insert(id.clone(), staging);
    if is_cold {
        state.plan.budget.take();
        known_loads::request_report(state, id);
    }
    order::enqueue(state, id, step, OrderUse::Stage(id.clone()));
}
