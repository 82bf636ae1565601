//! Chooses the endpoint that a request is sent to.

use super::admission::concurrency_limit;
use super::limits::{cold, hold_off, rate_limit};
use super::{DirectState, EndpointView, InFlightRequest, Mechanism};
use crate::types::{EngineSpec, InstanceId, Millis};

/// Added to the expected delay of an endpoint in another data hall.
const OTHER_HALL_US: u64 = 3_000;

/// Assumed processing time of a request to a service without an engine.
const PLAIN_REQUEST_US: u64 = 15_000;

/// Returns the endpoint that is expected to begin first. Endpoints that the request was
/// not sent to yet come first; failing these, any but the one that it was last sent to.
pub(super) fn pick(
    state: &mut DirectState,
    now: Millis,
    flight: &InFlightRequest,
) -> Option<InstanceId> {
    let untried = best_endpoint(state, now, flight, |tried| !flight.tried.contains(tried));
    untried.or_else(|| {
        best_endpoint(state, now, flight, |tried| {
            flight.tried.last() != Some(tried)
        })
    })
}

/// Whether a service has an endpoint outside evacuated halls, whatever its state. Without any, its
/// requests can't be served until a hall is taken back.
pub(super) fn has_open_hall(state: &DirectState, service: &str) -> bool {
    let halls = &state.evacuation;
    let of_service = |v: &&EndpointView| v.listed && *v.entry.service == *service;
    let mut endpoints = state.endpoints.values().filter(of_service);
    halls.is_empty() || endpoints.any(|v| !halls.contains(&v.entry.hall))
}

/// Whether any endpoint could take the request before its wait ends if it had room.
pub(super) fn has_candidate(state: &DirectState, flight: &InFlightRequest) -> bool {
    candidates(state, flight).any(|v| allows_send_by(v, flight.wait_until))
}

/// When the first of the endpoints that can serve a request ends its hold-off, if all of them hold
/// off.
pub(super) fn hold_off_end(
    state: &DirectState,
    now: Millis,
    flight: &InFlightRequest,
) -> Option<Millis> {
    hold_off::earliest_end(candidates(state, flight), now)
}

/// The endpoints that can serve a request and aren't leaving, whether they have room or not.
fn candidates<'a>(
    state: &'a DirectState,
    flight: &'a InFlightRequest,
) -> impl Iterator<Item = &'a EndpointView> {
    let spec = state
        .routing
        .as_ref()
        .and_then(|r| r.services.get(&flight.service));
    let groups = spec.is_some_and(|s| s.engine.is_some());
    state.endpoints.values().filter(move |v| {
        let fits = v.listed && !v.is_leaving() && v.entry.service == flight.service;
        fits && can_serve(state, v, flight, groups)
    })
}

/// Whether an endpoint's rate limit, cold phase and hold-off allow a request of this router by a
/// time.
fn allows_send_by(view: &EndpointView, time: Millis) -> bool {
    let allows_rate = rate_limit::can_send_by(view, time) && cold::can_send_by(view, time);
    allows_rate && hold_off::can_send_by(view, time)
}

/// Whether an endpoint of the right service can serve the request: any endpoint of a
/// plain service, or a head of a group with the right model if the service has `groups`, but none
/// in an evacuated hall.
fn can_serve(
    state: &DirectState,
    view: &EndpointView,
    flight: &InFlightRequest,
    groups: bool,
) -> bool {
    let model = flight.model.is_none() || view.entry.model == flight.model;
    let fits = !groups || (view.is_open_head() && model);
    fits && !state.evacuation.contains(&view.entry.hall)
}

fn best_endpoint(
    state: &mut DirectState,
    now: Millis,
    flight: &InFlightRequest,
    allowed: impl Fn(&(InstanceId, u64)) -> bool,
) -> Option<InstanceId> {
    let routing = state.routing.clone()?;
    let spec = routing.services.get(&flight.service);
    let engine = spec.and_then(|s| s.engine.as_ref());
    let mut found: Option<(u64, u64, InstanceId)> = None;
    let routers = state.peers.len() as u64 + 1;
    let random = state.random_below(u64::MAX);
    let params = &state.params;
    for (id, view) in &state.endpoints {
        if !can_take(state, view, now, flight, engine.is_some())
            || !allowed(&(id.clone(), view.epoch()))
        {
            continue;
        }
        let has_room = |e: &EngineSpec| {
            (!params.is_enabled(Mechanism::Limits)
                || concurrency_limit::has_room(view, routers, flight, now))
                && (!params.is_enabled(Mechanism::ReadingBound)
                    || concurrency_limit::can_read(view, routers, flight, e, now))
        };
        if !engine.is_none_or(has_room) {
            continue;
        }
        let extra = if view.entry.hall == state.hall {
            0
        } else {
            OTHER_HALL_US
        };
        let cost = expected_us(view, flight, engine) + extra;
        let tie = random.rotate_left(u32::from(id.as_str().bytes().last().unwrap_or(0)));
        if found
            .as_ref()
            .is_none_or(|(c, t, _)| (cost, tie) < (*c, *t))
        {
            found = Some((cost, tie, id.clone()));
        }
    }
    found.map(|(_, _, id)| id)
}

/// Whether an endpoint can take this request now, apart from its limits of runs and of
/// prompt tokens.
fn can_take(
    state: &DirectState,
    view: &EndpointView,
    now: Millis,
    flight: &InFlightRequest,
    groups: bool,
) -> bool {
    let entry = &view.entry;
    let fits = entry.service == flight.service && !view.is_leaving() && view.listed;
    let is_responsive = view.backoff_until <= now && view.silent_since.is_none();
    let available = is_responsive && hold_off::has_room(view, now);
    fits && available && allows_send_by(view, now) && can_serve(state, view, flight, groups)
}

/// Expected time in microseconds until an endpoint begins with a request.
fn expected_us(view: &EndpointView, flight: &InFlightRequest, engine: Option<&EngineSpec>) -> u64 {
    let running = u64::from(view.running);
    let Some(engine) = engine else {
        return running * PLAIN_REQUEST_US;
    };
    let pace = view
        .entry
        .model
        .as_ref()
        .and_then(|m| engine.model(m))
        .map_or(1_000, |m| m.pace);
    let tokens = view.unread_tokens + u64::from(flight.prompt_tokens);
    let read = tokens * 1_000_000 / engine.read_rate.max(1);
    let write = running * engine.step_us / 2;
    (read + write) * pace / 1_000
}
