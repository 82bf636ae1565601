//! Which endpoint a request goes to.

use super::{limit, rates, DirectState, EndpointView, Flight, Mechanism};
use crate::types::{EngineSpec, InstanceId, Millis};

/// What an endpoint of another data hall costs beside, in microseconds.
const FAR_US: u64 = 3_000;

/// Guess at the work of a plain request, in microseconds.
const PLAIN_US: u64 = 15_000;

/// The endpoint that is likely to answer first.
pub(super) fn pick(state: &mut DirectState, now: Millis, flight: &Flight) -> Option<InstanceId> {
    let fresh = best(state, now, flight, |tried| !flight.tried.contains(tried));
    fresh.or_else(|| {
        best(state, now, flight, |tried| {
            flight.tried.last() != Some(tried)
        })
    })
}

/// Whether any endpoint may take such a request in its time, if only it had room.
pub(super) fn any(state: &DirectState, flight: &Flight) -> bool {
    let spec = state
        .routing
        .as_ref()
        .and_then(|r| r.services.get(&flight.service));
    let groups = spec.is_some_and(|s| s.engine.is_some());
    let fits = |v: &EndpointView| {
        let fits = v.listed && v.entry.service == flight.service;
        fits && rates::allows_until(v, flight.held) && serves(v, flight, groups)
    };
    state.endpoints.values().any(fits)
}

/// Whether an endpoint of the right service serves what is asked for: any of a plain
/// service, or the head of a group of the model where a service has `groups`.
fn serves(view: &EndpointView, flight: &Flight, groups: bool) -> bool {
    let model = flight.model.is_none() || view.entry.model == flight.model;
    !groups || (view.heads() && model)
}

fn best(
    state: &mut DirectState,
    now: Millis,
    flight: &Flight,
    allowed: impl Fn(&(InstanceId, u64)) -> bool,
) -> Option<InstanceId> {
    let routing = state.routing.clone()?;
    let spec = routing.services.get(&flight.service);
    let engine = spec.and_then(|s| s.engine.as_ref());
    let mut found: Option<(u64, u64, InstanceId)> = None;
    let routers = state.peers.len() as u64 + 1;
    let draws = state.random(u64::MAX);
    let knobs = &state.knobs;
    for (id, view) in &state.endpoints {
        if !allowed(&(id.clone(), view.epoch())) || !takes(view, now, flight, engine.is_some()) {
            continue;
        }
        let room = |e: &EngineSpec| {
            (!knobs.on(Mechanism::Limits) || limit::room(view, routers, flight, now))
                && (!knobs.on(Mechanism::ReadingBound)
                    || limit::reads(view, routers, flight, e, now))
        };
        if !engine.is_none_or(room) {
            continue;
        }
        let far = if view.entry.hall == state.hall {
            0
        } else {
            FAR_US
        };
        let cost = expected_us(view, flight, engine) + far;
        let tie = draws.rotate_left(u32::from(id.as_str().bytes().last().unwrap_or(0)));
        if found
            .as_ref()
            .is_none_or(|(c, t, _)| (cost, tie) < (*c, *t))
        {
            found = Some((cost, tie, id.clone()));
        }
    }
    found.map(|(_, _, id)| id)
}

/// Whether an endpoint may get this request at all.
fn takes(view: &EndpointView, now: Millis, flight: &Flight, groups: bool) -> bool {
    let entry = &view.entry;
    let fits = entry.service == flight.service && !entry.leaving && view.listed;
    let calm = view.shunned <= now && view.silent.is_none();
    fits && calm && rates::allows(view, now) && serves(view, flight, groups)
}

/// Microseconds until an endpoint is likely to begin with a request.
fn expected_us(view: &EndpointView, flight: &Flight, engine: Option<&EngineSpec>) -> u64 {
    let running = u64::from(view.running);
    let Some(engine) = engine else {
        return running * PLAIN_US;
    };
    let pace = view
        .entry
        .model
        .as_ref()
        .and_then(|m| engine.model(m))
        .map_or(1_000, |m| m.pace);
    let tokens = view.unread + u64::from(flight.prompt);
    let read = tokens * 1_000_000 / engine.read_rate.max(1);
    let write = running * engine.step_us / 2;
    (read + write) * pace / 1_000
}
