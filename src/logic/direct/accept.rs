//! First step of a request: finds its route, client account and deadline.

use std::sync::Arc;

use super::admission::queue;
use super::{
    crashes, demand, finish, peers, returns, routing_age, send, step, DirectRequest, DirectState,
    Excess, InFlightRequest, Precedence, Problem, Refusal,
};
use crate::logic::Effect;
use crate::types::{Millis, RouteSpec, Routing};

/// Shortest time that a request is given, however little its caller waits.
const MIN_WAIT_MS: Millis = 1;

/// Handles a request from a caller. It is held while the routing or the endpoint list is
/// unknown, or the routing is being read again after a pause of this process.
pub(super) fn on_request(
    state: &mut DirectState,
    now: Millis,
    request: DirectRequest,
    out: &mut Vec<Effect>,
) {
    if !step::accepts_callers(state, now) {
        let problem = Problem::NotRun(state.params.again_ms / 4);
        let refusal = Refusal::new(problem, "the router is shutting down");
        return finish::refuse(&request, refusal, out);
    }
    let ready = state.routing.is_some() && state.listed && state.pause.waiting_since.is_none();
    if ready || !queue::hold(state, now, &request) {
        admit(state, now, now, request, out);
    }
}

/// Refuses a request because the routing or the endpoint list is not known yet, or the routing
/// wasn't read in time after a pause.
pub(super) fn refuse_not_ready(
    state: &mut DirectState,
    request: &DirectRequest,
    out: &mut Vec<Effect>,
) {
    let problem = finish::not_yet_problem(state, request.wait_ms);
    let why = "the routing or the endpoint list is not known, or is being checked after a pause";
    finish::refuse(request, Refusal::new(problem, why), out);
}

/// Admits a request that arrived at `arrived_at`, and sends it, enqueues it or refuses it.
pub(super) fn admit(
    state: &mut DirectState,
    now: Millis,
    arrived_at: Millis,
    request: DirectRequest,
    out: &mut Vec<Effect>,
) {
    let Some(routing) = state.routing.clone().filter(|_| state.listed) else {
        return refuse_not_ready(state, &request, out);
    };
    if let Some(excess) = request.excess {
        let refusal = excess_refusal(state, &routing, excess, request.wait_ms);
        return routing_age::refuse(state, now, &request, refusal, out);
    }
    let Some(route) = routing.route(&request.host, &request.path).cloned() else {
        let refusal = Refusal::new(Problem::NoRoute, "no such route").with("host", &request.host);
        return routing_age::refuse(state, now, &request, refusal, out);
    };
    let Ok((account, priority)) = account(&routing, &route, request.key.as_deref()) else {
        let refusal = Refusal::new(Problem::NoAccount, "missing or unknown API key")
            .with("has_key", request.key.is_some());
        return routing_age::refuse(state, now, &request, refusal, out);
    };
    let fingerprint = request.fingerprint.for_account(account.as_deref());
    let refusal = crashes::refusal(state, now, &request, &fingerprint, out);
    if let Some(refusal) = refusal {
        return finish::refuse(&request, refusal, out);
    }
    let random = state.random_below(u64::MAX);
    let Some(service) = route.service(random).cloned() else {
        let problem = finish::not_yet_problem(state, request.wait_ms);
        let refusal = Refusal::new(problem, "the route has no service");
        return finish::refuse(&request, refusal.with("route", &route.name), out);
    };
    let (window, id) = (state.params.retry_window, request.id);
    state
        .retries
        .entry(service.clone())
        .or_default()
        .record_request(now, window);
    let wait = request
        .wait_ms
        .unwrap_or(route.timeout_ms)
        .min(route.timeout_ms);
    if !state.plan.has_traffic {
        state.plan.has_traffic = true;
        peers::notify_traffic(state, out);
    }
    if let Some(model) = request.model.as_ref() {
        let tokens = (request.prompt_tokens, request.answer_tokens);
        demand::count_request(state, now, &route, &service, model, tokens);
    }
    let known = (&fingerprint, request.label.as_str());
    let kept_appointment = returns::on_arrival(state, arrived_at, known, &service, out);
    let flight = InFlightRequest {
        fingerprint,
        segments: request.segments,
        label: request.label,
        service,
        model: request.model,
        prompt_tokens: request.prompt_tokens,
        answer_tokens: request.answer_tokens,
        account,
        priority,
        precedence: Precedence::Fresh,
        kept_appointment,
        wait_until: arrived_at + queue::max_wait(Some(wait)),
        arrived: arrived_at,
        deadline: arrived_at + wait.max(MIN_WAIT_MS),
        tried: Vec::new(),
        runs: 0,
        run: None,
        earlier_runs: Vec::new(),
        resend_at: 0,
        pending_resend: None,
        answer_broke: false,
        failure_kept: false,
        head_sent: false,
        last_event: request.last_event,
        first_ms: 0,
        longest_pause: 0,
        event_at: arrived_at,
        route,
    };
    state.in_flight.insert(id, flight);
    send::send_or_wait(state, now, id, out);
}

/// Whether a request is refused whatever its body is: no route leads anywhere, or its client account isn't
/// known. What isn't known yet refuses nothing.
pub(crate) fn is_refused_by_head(state: &DirectState, request: &DirectRequest) -> bool {
    let waits = !state.listed || state.pause.waiting_since.is_some();
    let Some(routing) = state.routing.as_ref().filter(|_| !waits) else {
        return false;
    };
    let Some(route) = routing.route(&request.host, &request.path) else {
        return true;
    };
    account(routing, route, request.key.as_deref()).is_err()
}

/// Refusal of a request that is too large. Its caller is asked to come back if the limit has been raised
/// since the request was read.
fn excess_refusal(
    state: &mut DirectState,
    routing: &Routing,
    excess: Excess,
    wait_ms: Option<Millis>,
) -> Refusal {
    let (problem, read_to, limit) = match excess {
        Excess::Head(read_to) => (Problem::HeadTooLarge, read_to, routing.limits.header_bytes),
        Excess::Body(read_to) => (Problem::BodyTooLarge, read_to, routing.limits.body_bytes),
    };
    let problem = match limit > read_to {
        true => finish::not_yet_problem(state, wait_ms),
        false => problem,
    };
    Refusal::new(problem, "a part of it is too large")
        .with("read_to", read_to)
        .with("limit", limit)
}

/// Client account and priority of a request; an error if its key is unknown.
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
