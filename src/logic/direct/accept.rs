//! First step of a request: its route, its account, its time.

use std::sync::Arc;

use super::{
    demand, end, peers, send, DirectRequest, DirectState, EndStage, Flight, Problem, Turn,
};
use crate::logic::Effect;
use crate::types::{Millis, RouteSpec, Routing};

/// Shortest time that is worth a run, in milliseconds.
const LEAST_WAIT: Millis = 1;

/// Part of the objective that a request may wait for room: a refusal within a quarter
/// of it leaves the caller time to be served well elsewhere, and the way to the caller
/// takes part of that.
const HELD: Millis = 6;

/// A caller has sent a request.
pub(super) fn arrived(
    state: &mut DirectState,
    now: Millis,
    request: DirectRequest,
    out: &mut Vec<Effect>,
) {
    if state.ending != EndStage::Open {
        let problem = Problem::NotRun(state.knobs.again_ms / 4);
        return end::refuse(
            request.id,
            &request.label,
            problem,
            "this router stops",
            out,
        );
    }
    let Some(routing) = state.routing.clone().filter(|_| state.listed) else {
        let problem = end::not_yet(state, request.wait_ms);
        let why = "nothing is known yet";
        return end::refuse(request.id, &request.label, problem, why, out);
    };
    let Some(route) = routing.route(&request.host, &request.path).cloned() else {
        return end::refuse(
            request.id,
            &request.label,
            Problem::NoRoute,
            "no such route",
            out,
        );
    };
    let Ok((account, priority)) = account(&routing, &route, request.key.as_deref()) else {
        return end::refuse(
            request.id,
            &request.label,
            Problem::NoAccount,
            "no such key",
            out,
        );
    };
    let draw = state.random(u64::MAX);
    let Some(service) = route.service(draw).cloned() else {
        return end::refuse(
            request.id,
            &request.label,
            Problem::NoRoute,
            "no service",
            out,
        );
    };
    let (window, id) = (state.knobs.retry_window, request.id);
    state
        .retries
        .entry(service.clone())
        .or_default()
        .request(now, window);
    let wait = request
        .wait_ms
        .unwrap_or(route.timeout_ms)
        .min(route.timeout_ms);
    if !state.plan.traffic {
        state.plan.traffic = true;
        peers::traffic(state, out);
    }
    if let Some(model) = request.model.as_ref() {
        let tokens = (request.prompt, request.answer);
        demand::count(state, now, &route, &service, model, tokens);
    }
    let flight = Flight {
        label: request.label,
        service,
        model: request.model,
        prompt: request.prompt,
        answer: request.answer,
        account,
        priority,
        turn: Turn::Fresh,
        held: now + route.target_ms / HELD,
        arrived: now,
        deadline: now + wait.max(LEAST_WAIT),
        tried: Vec::new(),
        runs: 0,
        run: None,
        headed: false,
        last_event: request.last_event,
        first: 0,
        paused: 0,
        moved: now,
        route,
    };
    state.flights.insert(id, flight);
    send::next(state, now, id, out);
}

/// The account and rank of a request; an error where its key isn't known.
fn account(
    routing: &Routing,
    route: &RouteSpec,
    key: Option<&str>,
) -> Result<(Option<Arc<str>>, u8), ()> {
    if !routing.keyed || route.open {
        return Ok((None, route.priority));
    }
    let account = key.and_then(|k| routing.accounts.get(k)).ok_or(())?;
    let priority = account.priority.unwrap_or(route.priority);
    Ok((Some(account.name.clone()), priority))
}
