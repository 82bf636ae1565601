//! The periodic planning pass over all groups and free endpoints.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{
    confirmation, departures, fill, fleet_view, form, halls, idle, inspect, known_loads,
    planner_lease, probe, repairs, retire, stage, survey, value, LoadBudget,
};
use crate::logic::direct::{DirectEffect, DirectState};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::{EngineSpec, Millis};

/// Endpoints for which the interval between two planning passes grows by 1 ms.
const ENDPOINTS_PER_MS: Millis = 10;

/// Interval at which a new planner requests the whole list until it is current.
const LIST_READ_INTERVAL_MS: Millis = 1_500;

/// Maintains the planner lease and, while it is held, runs a planning pass when one is due.
pub(in crate::logic::direct) fn on_tick(
    state: &mut DirectState,
    now: Millis,
    out: &mut Vec<Effect>,
) {
    planner_lease::on_tick(state, now, out);
    let holds = state.plan.lease.holds(now) && state.stop_since.is_none();
    on_lease_change(state, now, holds, out);
    if holds {
        request_list(state, now, out);
    }
    if !holds || !is_list_current(state) || state.routing.is_none() || now < state.plan.next_pass {
        return;
    }
    // A pass takes time in proportion to the endpoints: large fleets are planned less often.
    let interval = state.endpoints.len() as Millis / ENDPOINTS_PER_MS;
    state.plan.next_pass = now + state.params.planning_ms.max(interval);
    update_engine_count(state, now);
    probe::on_tick(state, now, out);
    halls::on_tick(state, now, out);
    form::on_tick(state, now, out);
    departures::on_tick(state, now, out);
    retire::on_tick(state, now, out);
    inspect::on_tick(state, now, out);
    repairs::on_tick(state, now, out);
    fill::on_tick(state, now, out);
    stage::on_tick(state, now, out);
    idle::on_tick(state, now, out);
    confirmation::on_tick(state, now, out);
    log_needs(state, now, out);
    forget_ended(state);
}

/// Begins a period as planner, ends it, or interrupts it. A lease that lapses by this router's clock and is
/// then renewed is still the same one: no other router has planned meanwhile, and what this one has ordered
/// is known to nobody else.
fn on_lease_change(state: &mut DirectState, now: Millis, holds: bool, out: &mut Vec<Effect>) {
    let plan = &mut state.plan;
    let fence = plan.lease.fence;
    let is_superseded = !holds && state.digests.fence > fence;
    let is_own = fence > 0 && fence == plan.pass_fence && !is_superseded;
    if plan.was_planner && !holds {
        plan.lapsed_at = now;
        let event = LogEvent::new(LogCode::PlannerLeaseLost).with("why", "not renewed in time");
        out.push(Effect::Log(event));
    } else if holds && !plan.was_planner && is_own {
        let event = LogEvent::new(LogCode::PlannerLeaseKept)
            .with("fence", fence)
            .with("lapsed", now.saturating_sub(plan.lapsed_at))
            .with("forming", plan.forming.len())
            .with("ending", plan.ending.len());
        out.push(Effect::Log(event));
    }
    plan.was_planner = holds;
    if is_own || (plan.pass_fence == 0 && !holds) {
        return;
    }
    // What this router has ordered under its lease is forgotten now, so that endpoints have to report it.
    if fence == plan.pass_fence {
        plan.lease.is_first = false;
    }
    known_loads::keep_own(state, now);
    clear_pass_state(state);
    state.plan.pass_fence = 0;
    if holds {
        state.plan.pass_fence = fence;
        state.plan.planner_since = now;
        state.plan.reread_at = now;
        state.plan.budget = LoadBudget::empty(now);
        known_loads::adopt(state, now, out);
    }
}

/// Brings the next planning pass forward to now.
pub(in crate::logic::direct) fn request_pass(state: &mut DirectState, now: Millis) {
    state.plan.next_pass = state.plan.next_pass.min(now);
}

/// Whether the list is complete and at least as new as the planner lease, so that it
/// shows everything that earlier planners did.
fn is_list_current(state: &DirectState) -> bool {
    let is_complete = state.listed && !state.digests.list_incomplete;
    is_complete && state.listed_at >= state.plan.lease.taken_at
}

/// Requests the whole list while it is incomplete or older than the planner lease: in a large fleet
/// this takes far less time than catching up by single changes.
fn request_list(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    if is_list_current(state) || now < state.plan.reread_at {
        return;
    }
    state.plan.reread_at = now + LIST_READ_INTERVAL_MS;
    out.push(Effect::Direct(DirectEffect::ReadList));
}

/// Drops the state of an earlier period as planner.
fn clear_pass_state(state: &mut DirectState) {
    let plan = &mut state.plan;
    plan.forming.clear();
    plan.ending.clear();
    plan.ended.clear();
    plan.incomplete.clear();
    plan.staging.clear();
    plan.detached_loads.clear();
    plan.load_pauses.clear();
    plan.loads_waiting = 0;
    plan.unreachable_halls.clear();
    plan.repairs.clear();
    plan.orders.clear();
    plan.unanswered.clear();
    plan.order_queue.clear();
    plan.misfits.clear();
    plan.opened_seats.clear();
    plan.confirmed.clear();
    plan.restarted.clear();
    plan.left.clear();
    plan.gone.clear();
    plan.doubted.clear();
    plan.lost.clear();
    plan.probes.clear();
    plan.probes_pending = 0;
    plan.idle.clear();
}

/// Interval between log events on what models need: few lines, and enough to follow a repair by.
const NEEDS_LOG_INTERVAL_MS: Millis = 5_000;

/// Logs the groups that each model has and needs.
fn log_needs(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    if now < state.plan.needs_due {
        return;
    }
    state.plan.needs_due = now + NEEDS_LOG_INTERVAL_MS;
    let Some(routing) = state.routing.clone() else {
        return;
    };
    for (service, spec) in &routing.services {
        let Some(engine) = &spec.engine else {
            continue;
        };
        log_misfits(state, service, engine, out);
        let needs = value::needs(state, now, engine);
        let counts = fleet_view::counts(state, service, engine);
        for ((model, need), count) in engine.models.iter().zip(needs).zip(counts) {
            let event = LogEvent::new(LogCode::NeedsEstimated)
                .with("model", &model.name)
                .with("stand", count)
                .with("needed", format!("{:.2}", need.groups))
                .with("weight", format!("{:.2}", need.weight));
            out.push(Effect::Log(event));
        }
    }
}

/// Logs each model whose groups are larger than every fabric domain of its service, once, and again
/// if that has changed meanwhile.
fn log_misfits(
    state: &mut DirectState,
    service: &Arc<str>,
    engine: &EngineSpec,
    out: &mut Vec<Effect>,
) {
    let mut sizes: BTreeMap<&Arc<str>, usize> = BTreeMap::new();
    let listed = state.endpoints.values().filter(|v| v.listed);
    for view in listed.filter(|v| v.entry.service == *service && survey::is_planned(state, v)) {
        *sizes.entry(&view.entry.domain).or_default() += 1;
    }
    let Some(largest) = sizes.into_values().max() else {
        return;
    };
    for model in &engine.models {
        if model.size <= largest {
            state.plan.misfits.remove(&model.name);
        } else if state.plan.misfits.insert(model.name.clone()) {
            let event = LogEvent::new(LogCode::ModelMisfit)
                .with("model", &model.name)
                .with("size", model.size)
                .with("largest_domain", largest);
            out.push(Effect::Log(event));
        }
    }
}

/// Counts the listed endpoints of engines: the largest count is the basis of what models
/// need, and the initial placement waits until the count has settled.
fn update_engine_count(state: &mut DirectState, now: Millis) {
    let engines = state
        .endpoints
        .values()
        .filter(|v| v.listed && survey::is_planned(state, v));
    let count = engines.count();
    state.plan.engine_peak = state.plan.engine_peak.max(count);
    if count != state.plan.engine_count.0 {
        state.plan.engine_count = (count, now);
    }
}

/// Forgets ended groups once no endpoint has a seat in them.
fn forget_ended(state: &mut DirectState) {
    let endpoints = &state.endpoints;
    let has_seats = |name: &std::sync::Arc<str>| {
        let mut seats = endpoints.values().filter_map(|v| v.entry.seat.as_ref());
        seats.any(|s| s.group == *name)
    };
    state.plan.ended.retain(|name| has_seats(name));
}
