//! Loads from the weight store by one schedule, for services with the part `capacity`.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::fill::FreePool;
use super::value::{needs, readiness, ModelNeed, COLD};
use super::{fill, fleet_view, probe, readiness::loss_rate, stage, survey, StagedLoad};
use crate::logic::direct::capacity::{
    plan_loads, LoadDomain, LoadInput, LoadModel, LoadSource, ReadyCounts,
};
use crate::logic::direct::limits::hold_off;
use crate::logic::direct::{demand, DirectState, EndpointView, Mechanism, OrderResult};
use crate::logic::Effect;
use crate::types::{EngineSpec, InstanceId, Millis};

/// Groups of a model beyond the present ones whose worth is weighed.
const MAX_GAINS: usize = 8;

/// Most worth that a group must add to justify loads, as a part of the service's worth.
const MIN_GROUP_GAIN: f64 = 0.005;

/// The same as a part of the mean worth of the needed groups, of which a large fleet has many: above
/// what a group beyond the need adds.
const MIN_GAIN_PART: f64 = 0.1;

/// Loads planned beyond those that may begin now, to count those that wait.
const MAX_WAITING: usize = 8;

/// Time in which a loaded endpoint may replace a lost member, as a multiple of its load time: it
/// is of use after the load, for about as long again.
const HORIZON_FACTOR: f64 = 2.0;

/// Least worth of groups that endpoints form which have waited in vain for a better one: the others
/// aren't short.
pub(super) const MIN_REASSIGNED_GAIN: f64 = 0.005;

/// Whether the loads of a service with this engine follow the schedule. In the initial phase loads
/// are cheap and take nothing from callers, so that the initial placement decides.
pub(super) fn is_active(state: &DirectState, engine: &EngineSpec) -> bool {
    let is_called_for = state.params.is_active(Mechanism::Capacity, Some(engine));
    is_called_for && !fill::is_initial_phase(state)
}

/// The same for the service of an endpoint.
pub(super) fn is_active_for(state: &DirectState, id: &InstanceId) -> bool {
    engine_of(state, id).is_some_and(|e| is_active(state, e))
}

/// The engine of an endpoint's service.
pub(super) fn engine_of<'a>(state: &'a DirectState, id: &InstanceId) -> Option<&'a EngineSpec> {
    let service = &state.endpoints.get(id)?.entry.service;
    let routing = state.routing.as_ref()?;
    routing.services.get(service)?.engine.as_ref()
}

/// Begins the most valuable loads of each service, as far as the weight store serves them at full
/// speed.
pub(super) fn on_tick(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let Some(routing) = state.routing.clone() else {
        return;
    };
    let mut waiting = 0;
    for (service, spec) in &routing.services {
        let Some(engine) = spec.engine.as_ref().filter(|e| is_active(state, e)) else {
            continue;
        };
        let in_progress = loads_in_progress(state, now);
        let room = (engine.loads_at_once as usize).saturating_sub(in_progress);
        let input = load_input(state, now, service, engine, room + MAX_WAITING);
        let planned = plan_loads(&input);
        let mut begun = 0;
        for load in planned.iter().take(room) {
            if !stage::can_load(state, engine) {
                break;
            }
            begun += 1;
            let model = &engine.models[load.model].name;
            if load.hold {
                stage::send_hold_order(state, now, &load.id, model, true, out);
            } else {
                stage::send_stage_order(state, now, &load.id, model, out);
            }
        }
        waiting += planned.len() - begun;
    }
    state.plan.loads_waiting = waiting;
}

/// Loads from the weight store that are in progress, whoever ordered them. All services load from
/// the same store.
fn loads_in_progress(state: &DirectState, now: Millis) -> usize {
    let plan = &state.plan;
    let reordered = |id: &InstanceId| plan.staging.contains_key(id);
    let detached = plan.detached_loads.iter().filter(|(id, _)| !reordered(id));
    let all = plan.staging.iter().chain(detached);
    all.filter(|(id, load)| is_in_progress(state, now, id, load))
        .count()
}

/// Whether a load from the weight store is in progress: its endpoint isn't lost, and the time that
/// it takes hasn't passed.
pub(super) fn is_in_progress(
    state: &DirectState,
    now: Millis,
    id: &InstanceId,
    load: &StagedLoad,
) -> bool {
    load.cold && now < load.due && !state.plan.lost.contains_key(id)
}

/// Returns when a load that begins is due. Beyond the loads that run at full speed, each further one
/// delays the others.
pub(super) fn on_load_begun(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    model: &Arc<str>,
    is_cold: bool,
) -> Millis {
    let Some(engine) = engine_of(state, id).filter(|_| is_cold).cloned() else {
        return now;
    };
    let load_ms = engine.model(model).map_or(0, |m| m.load_ms);
    let all = loads_in_progress(state, now) as Millis + 1;
    let at_once = Millis::from(engine.loads_at_once.max(1));
    if all > at_once {
        let plan = &mut state.plan;
        let detached = plan.detached_loads.values_mut();
        let loads = plan.staging.values_mut().chain(detached);
        for load in loads.filter(|l| l.cold && now < l.due) {
            load.due += load_ms / at_once;
        }
    }
    now + load_ms * all.max(at_once) / at_once + stage::LOAD_SLACK_MS
}

/// Handles an order to load that wasn't accepted. Its endpoint gets another one only after a pause. One
/// that hasn't answered may still carry the order out; it is probed, and lost if it doesn't answer.
pub(super) fn on_order_failed(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    result: OrderResult,
    out: &mut Vec<Effect>,
) {
    let is_unanswered = result == OrderResult::Unanswered;
    if is_unanswered {
        detach(state, now, id);
    } else {
        state.plan.staging.remove(id);
    }
    if !is_active_for(state, id) {
        return;
    }
    let endpoints = &state.endpoints;
    let pauses = &mut state.plan.load_pauses;
    pauses.retain(|id, _| endpoints.contains_key(id));
    pauses.entry(id.clone()).or_default().on_failure(now);
    if is_unanswered {
        probe::send_if_due(state, now, id, out);
    }
}

/// Removes the load of an endpoint that is to do something else or hasn't answered. Where loads
/// follow the schedule, it counts until it is due, as it may still run.
pub(super) fn detach(state: &mut DirectState, now: Millis, id: &InstanceId) {
    let Some(load) = state.plan.staging.remove(id) else {
        return;
    };
    if is_in_progress(state, now, id, &load) && is_active_for(state, id) {
        state.plan.detached_loads.insert(id.clone(), load);
    }
}

/// Whether the free endpoints of a place have waited for others for longer than a load takes, and no
/// load in progress there may bring one.
pub(super) fn has_waited_in_vain(state: &DirectState, now: Millis, pool: &FreePool) -> bool {
    if !is_active(state, pool.engine) {
        return false;
    }
    let load_ms = pool.engine.models.iter().map(|m| m.load_ms).max();
    let waits_long = |id: &InstanceId| {
        let idle = state.plan.idle.get(id);
        let since = idle.and_then(|i| i.waits_since);
        since.is_some_and(|at| now >= at + load_ms.unwrap_or(0))
    };
    let is_loading = |id: &InstanceId| {
        let load = state.plan.staging.get(id);
        load.is_some_and(|l| is_in_progress(state, now, id, l))
    };
    pool.free.iter().any(waits_long) && !pool.free.iter().any(is_loading)
}

/// What the loads of a service are planned by.
fn load_input(
    state: &DirectState,
    now: Millis,
    service: &Arc<str>,
    engine: &EngineSpec,
    max_loads: usize,
) -> LoadInput {
    let free: BTreeSet<InstanceId> = survey::free(state).into_values().flatten().collect();
    let mut domains: BTreeMap<&Arc<str>, LoadDomain> = BTreeMap::new();
    let mut usable = 0usize;
    for (id, view) in &state.endpoints {
        if view.entry.service != *service || !survey::is_usable(state, id, view) {
            continue;
        }
        usable += 1;
        let is_free = free.contains(id);
        let domain = domains
            .entry(&view.entry.domain)
            .or_insert_with(|| LoadDomain {
                ready: vec![ReadyCounts::default(); engine.models.len()],
                ..LoadDomain::default()
            });
        domain.free += usize::from(is_free);
        count_ready(state, now, engine, (id, view), is_free, &mut domain.ready);
        if let Some(source) = load_source(state, now, engine, (id, view), is_free) {
            domain.sources.entry(source).or_default().push(id.clone());
        }
    }
    let member_rate = loss_rate(state, now) / usable.max(1) as f64;
    let counts = fleet_view::counts(state, service, engine);
    let needs = needs(state, now, engine);
    let models = engine.models.iter().zip(needs.iter().zip(counts));
    let models = models.map(|(model, (need, count))| {
        let horizon_s = model.load_ms as f64 / 1_000.0 * HORIZON_FACTOR;
        let is_known = demand::is_known(state, now);
        load_model(need, count, model.size, member_rate * horizon_s, is_known)
    });
    LoadInput {
        models: models.collect(),
        domains: domains.into_values().collect(),
        max_loads,
    }
}

/// What the groups of a model are worth beyond the `count` present ones. While demand is unknown, and
/// for the first group, any gain justifies loads: the published shares only suggest what a group is
/// worth, and without one a model has no callers served.
fn load_model(
    need: &ModelNeed,
    count: usize,
    size: usize,
    member_losses: f64,
    is_known: bool,
) -> LoadModel {
    let gain = |n: usize| need.served(n + 1) - need.served(n);
    let min_gain = MIN_GROUP_GAIN.min(MIN_GAIN_PART * need.weight / need.groups.max(1.0));
    let justified = |n: usize| {
        let is_exempt = !is_known || n == 0;
        Some(gain(n)).filter(|g| is_exempt || *g >= min_gain)
    };
    LoadModel {
        size,
        gains: (count..count + MAX_GAINS)
            .map(|n| justified(n).unwrap_or(0.0))
            .collect(),
        loss: gain(count.saturating_sub(1)),
        member_losses,
    }
}

/// Counts an endpoint with the models that it is ready for.
fn count_ready(
    state: &DirectState,
    now: Millis,
    engine: &EngineSpec,
    (id, view): (&InstanceId, &EndpointView),
    is_free: bool,
    ready: &mut [ReadyCounts],
) {
    let group = if is_free {
        None
    } else {
        survey::model_of(state, id, view)
    };
    // A load that is overdue has failed or ends after one that begins now.
    let load = state.plan.staging.get(id);
    let load = load.filter(|l| !l.cold || is_in_progress(state, now, id, l));
    for (model, ready) in engine.models.iter().zip(ready) {
        let is_loading = load.is_some_and(|l| l.model == model.name);
        let is_ready = is_loading || readiness(state, id, &model.name) < COLD;
        if group.as_ref() == Some(&model.name) {
            ready.members += 1;
        } else if is_ready && is_free {
            ready.free += 1;
        } else if is_ready {
            ready.seated += 1;
        }
    }
}

/// What an endpoint is for the schedule, if it can load a model now: it loads none, answers, has
/// room on its host and is known to hold nothing that the load would evict.
fn load_source(
    state: &DirectState,
    now: Millis,
    engine: &EngineSpec,
    (id, view): (&InstanceId, &EndpointView),
    is_free: bool,
) -> Option<LoadSource> {
    let probe = state.plan.probes.get(id);
    let answers = view.silent_since.is_none()
        && hold_off::takes_calls(view, now)
        && probe.is_none_or(|p| !p.pending && p.misses == 0);
    let pause = state.plan.load_pauses.get(id);
    let is_paused = pause.is_some_and(|p| now < p.until);
    if !answers || is_paused || state.plan.staging.contains_key(id) {
        return None;
    }
    let Some(held) = &view.last_model else {
        let is_empty = is_free && view.entry.staged.is_empty();
        let can_hold = is_empty && state.params.is_enabled(Mechanism::Spares);
        return can_hold.then_some(LoadSource {
            seated: false,
            held: None,
        });
    };
    let has_second = view.entry.staged.iter().any(|m| m != held);
    let held = engine.models.iter().position(|m| m.name == *held)?;
    let can_load = !has_second && state.params.is_enabled(Mechanism::SecondModels);
    can_load.then_some(LoadSource {
        seated: !is_free,
        held: Some(held),
    })
}
