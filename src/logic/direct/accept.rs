//! First step of a request: its route, its account, its time.

use std::sync::Arc;

use super::{
    crashes, demand, end, peers, queue, send, DirectRequest, DirectState, EndStage, Flight,
    Problem, Turn,
};
use crate::logic::Effect;
use crate::types::{Millis, RouteSpec, Routing};

/// Shortest time that is worth a run, in milliseconds.
const LEAST_WAIT: Millis = 1;

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
    let knows = state.routing.is_some() && state.listed && state.pause.since.is_none();
    if knows || !queue::early(state, now, &request) {
        taken(state, now, now, request, out);
    }
}

/// Refuses a request because nothing is known here yet.
pub(super) fn unknown(state: &mut DirectState, request: &DirectRequest, out: &mut Vec<Effect>) {
    let problem = end::not_yet(state, request.wait_ms);
    let why = "nothing is known yet";
    end::refuse(request.id, &request.label, problem, why, out);
}

/// Takes up a request that arrived at `at`.
pub(super) fn taken(
    state: &mut DirectState,
    now: Millis,
    at: Millis,
    request: DirectRequest,
    out: &mut Vec<Effect>,
) {
    let Some(routing) = state.routing.clone().filter(|_| state.listed) else {
        return unknown(state, &request, out);
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
    let fingerprint = request.content.by(account.as_deref());
    if let Some((problem, why)) = crashes::refusal(state, &fingerprint) {
        return end::refuse(request.id, &request.label, problem, why, out);
    }
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
        peers::notify_traffic(state, out);
    }
    if let Some(model) = request.model.as_ref() {
        let tokens = (request.prompt, request.answer);
        demand::count_request(state, now, &route, &service, model, tokens);
    }
    let flight = Flight {
        fingerprint,
        label: request.label,
        service,
        model: request.model,
        prompt: request.prompt,
        answer: request.answer,
        account,
        priority,
        turn: Turn::Fresh,
        held: at + queue::hold(Some(wait)),
        arrived: at,
        deadline: at + wait.max(LEAST_WAIT),
        tried: Vec::new(),
        runs: 0,
        run: None,
        headed: false,
        last_event: request.last_event,
        first: 0,
        paused: 0,
        moved: at,
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
