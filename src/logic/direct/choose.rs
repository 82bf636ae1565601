//! Chooses the endpoint that a request is sent to.

use std::sync::Arc;

use super::admission::{concurrency_limit, pool, RouterShare};
use super::limits::{cold, hold_off, rate_limit};
use super::{DirectState, EndpointView, InFlightRequest, Mechanism};
use crate::types::{EngineSpec, InstanceId, Millis};

/// Added to the expected delay of an endpoint in another data hall.
const OTHER_HALL_US: u64 = 3_000;

/// Assumed processing time of a request to a service without an engine.
const PLAIN_REQUEST_US: u64 = 15_000;

/// Returns the endpoint that is expected to begin first. Endpoints that the request was
/// not sent to yet come first; failing these, any but the one that it was last sent to and
/// those at which it still has a run. The last one is chosen again if its answer broke off and no
/// other takes the request: it may go on, and other requests are sent there once the backoff is over.
pub(super) fn pick(
    state: &mut DirectState,
    now: Millis,
    flight: &InFlightRequest,
) -> Option<InstanceId> {
    let has_run = |(id, epoch): &(InstanceId, u64)| {
        let mut runs = flight.all_runs();
        runs.any(|r| r.endpoint == *id && r.epoch == *epoch)
    };
    let untried = best_endpoint(state, now, flight, |at| !flight.tried.contains(at));
    let other = untried.or_else(|| {
        best_endpoint(state, now, flight, |at| {
            flight.tried.last() != Some(at) && !has_run(at)
        })
    });
    if other.is_some() || !flight.answer_broke {
        return other;
    }
    best_endpoint(state, now, flight, |at| !has_run(at))
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
        fits && can_serve(state, v, flight.model.as_ref(), groups)
    })
}

/// The endpoints that can serve requests for a model, or for a service without models, and that
/// answer.
pub(super) fn responsive<'a>(
    state: &'a DirectState,
    service: &'a str,
    model: Option<&'a Arc<str>>,
) -> impl Iterator<Item = &'a EndpointView> {
    let spec = state.routing.as_ref().and_then(|r| r.services.get(service));
    let groups = spec.is_some_and(|s| s.engine.is_some());
    state.endpoints.values().filter(move |v| {
        let listed = v.listed && !v.is_leaving() && *v.entry.service == *service;
        listed && v.silent_since.is_none() && can_serve(state, v, model, groups)
    })
}

/// The limit that keeps a request from being sent now, as the reason of its refusal.
pub(super) fn blocking_limit(
    state: &DirectState,
    now: Millis,
    flight: &InFlightRequest,
) -> &'static str {
    let spec = state.routing.as_ref();
    let spec = spec.and_then(|r| r.services.get(&flight.service));
    let engine = spec.and_then(|s| s.engine.as_ref());
    let late = pool::is_late(state, now, flight);
    let share = RouterShare::of_model(state, flight.model.as_ref());
    let mut open = candidates(state, flight)
        .filter(|v| can_take(state, v, now, flight, engine.is_some()))
        .peekable();
    if open.peek().is_none() {
        return match candidates(state, flight).next() {
            Some(_) => {
                "it can't begin in time: its endpoints are at their rate, cold, or backed off from"
            }
            None => "it can't begin in time: no endpoint serves its model now",
        };
    }
    let with_room =
        |v: &&EndpointView| engine.is_none() || concurrency_limit::has_room(v, share, flight, late);
    let mut with_room = open.filter(with_room).peekable();
    if with_room.peek().is_none() {
        return "it can't begin in time: its heads are at their limit of runs";
    }
    let can_read = |v: &EndpointView| {
        engine.is_none_or(|e| concurrency_limit::can_read(v, share, flight, e, late))
    };
    if with_room.any(can_read) {
        "it can't begin in time: other requests go before it"
    } else {
        "it can't begin in time: its heads have other prompts to read"
    }
}

/// Whether an endpoint's rate limit, cold phase and hold-off allow a request of this router by a
/// time.
fn allows_send_by(view: &EndpointView, time: Millis) -> bool {
    let allows_rate = rate_limit::can_send_by(view, time) && cold::can_send_by(view, time);
    allows_rate && hold_off::can_send_by(view, time)
}

/// Whether an endpoint of the right service can serve requests for a model: any endpoint of a
/// plain service, or a head of a group with the right model if the service has `groups`, but none
/// in an evacuated hall.
fn can_serve(
    state: &DirectState,
    view: &EndpointView,
    model: Option<&Arc<str>>,
    groups: bool,
) -> bool {
    let model = model.is_none() || view.entry.model.as_ref() == model;
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
    let share = RouterShare::of_model(state, flight.model.as_ref());
    let random = state.random_below(u64::MAX);
    let late = pool::is_late(state, now, flight);
    let params = &state.params;
    for (id, view) in &state.endpoints {
        if !can_take(state, view, now, flight, engine.is_some())
            || !allowed(&(id.clone(), view.epoch()))
        {
            continue;
        }
        let has_room = |e: &EngineSpec| {
            (!params.is_enabled(Mechanism::Limits)
                || concurrency_limit::has_room(view, share, flight, late))
                && (!params.is_enabled(Mechanism::ReadingBound)
                    || concurrency_limit::can_read(view, share, flight, e, late))
        };
        if !engine.is_none_or(has_room) {
            continue;
        }
        let extra = if view.entry.hall == state.hall {
            0
        } else {
            OTHER_HALL_US
        };
        let cost = expected_us(view, flight.prompt_tokens.into(), engine) + extra;
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
    fits && available
        && allows_send_by(view, now)
        && can_serve(state, view, flight.model.as_ref(), groups)
}

/// Expected time in microseconds until an endpoint begins with a request of so many prompt tokens.
pub(super) fn expected_us(
    view: &EndpointView,
    prompt_tokens: u64,
    engine: Option<&EngineSpec>,
) -> u64 {
    let running = u64::from(view.running);
    let Some(engine) = engine else {
        return running * PLAIN_REQUEST_US;
    };
    let pace = pace(engine, view.entry.model.as_deref());
    let tokens = view.unread_tokens + prompt_tokens;
    let read = tokens * 1_000_000 / engine.read_rate.max(1);
    let write = running * engine.step_us / 2;
    (read + write) * pace / 1_000
}

/// Time in microseconds that a model takes to read prompt tokens.
pub(super) fn read_us(engine: &EngineSpec, model: Option<&str>, tokens: u64) -> u64 {
    tokens * 1_000_000 / engine.read_rate.max(1) * pace(engine, model) / 1_000
}

fn pace(engine: &EngineSpec, model: Option<&str>) -> u64 {
    model
        .and_then(|m| engine.model(m))
        .map_or(1_000, |m| m.pace)
}
