//! One decision for all requests that wait for the same capacity pool, whatever their route.
//!
//! A pool's requests wait in one queue, from which they are sent in fair order. One that can't begin
//! within its objective is refused at once while others contend for the pool, because its caller
//! then has a full second attempt.

use std::sync::Arc;

use super::fair_order::lowest_tag;
use super::waiting_case::usable_forecast;
use super::{
    concurrency_limit, fair_order, queue, request_cost, PoolState, Precedence, QueueKey,
    QueuedRequest, Verdict, WaitingCase,
};
use crate::logic::direct::{choose, finish, send, DirectState, InFlightRequest, Mechanism};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::{EngineSpec, Millis};

/// Most requests of a pool that are tried in vain at one event: each takes a pass over all
/// endpoints.
const MAX_BLOCKED: usize = 3;

/// Time without requests after which what is known of a pool is forgotten.
const POOL_KEPT_MS: Millis = 10_000;

/// Shortest time between two log events about evicted accounts.
const EVICTED_INTERVAL_MS: Millis = 10_000;

/// Whether the requests of a service are admitted by pool.
pub(in crate::logic::direct) fn is_active(state: &DirectState, service: &str) -> bool {
    state.is_active(Mechanism::Admission, service)
}

fn engine_of<'a>(state: &'a DirectState, service: &str) -> Option<&'a EngineSpec> {
    let spec = state.routing.as_ref()?.services.get(service)?;
    spec.engine.as_ref()
}

/// Account that a request counts for; its route where it has none.
fn account(flight: &InFlightRequest) -> &Arc<str> {
    flight.account.as_ref().unwrap_or(&flight.route.name)
}

fn cost(engine: Option<&EngineSpec>, flight: &InFlightRequest) -> u64 {
    let tokens = (flight.prompt_tokens, flight.answer_tokens);
    request_cost(engine, flight.model.as_deref(), tokens)
}

/// Whether a waiting request can't begin within its objective any more.
pub(in crate::logic::direct) fn is_late(
    state: &DirectState,
    now: Millis,
    flight: &InFlightRequest,
) -> bool {
    if !is_active(state, &flight.service) {
        return flight.is_late(now);
    }
    let pool = state.admission.pools.get(&QueueKey::of(state, flight));
    is_late_in(pool, engine_of(state, &flight.service), now, flight)
}

fn is_late_in(
    pool: Option<&PoolState>,
    engine: Option<&EngineSpec>,
    now: Millis,
    flight: &InFlightRequest,
) -> bool {
    flight.precedence == Precedence::Fresh && waiting_case(pool, engine, now, flight).is_late()
}

/// The case of a request that waits for a pool, without what others there do.
fn waiting_case(
    pool: Option<&PoolState>,
    engine: Option<&EngineSpec>,
    now: Millis,
    flight: &InFlightRequest,
) -> WaitingCase {
    let target = flight.route.target_ms;
    let prompt = u64::from(flight.prompt_tokens);
    let model = flight.model.as_deref();
    let read_us = engine.map_or(0, |engine| choose::read_us(engine, model, prompt));
    let forecast = pool.and_then(|p| Some(p.forecast? + read_us / 1_000));
    WaitingCase {
        waited: now.saturating_sub(flight.arrived),
        target,
        forecast: usable_forecast(forecast, target),
        send_delay: None,
        contended: false,
    }
}

/// Handles a request that is sent to an endpoint: charges its account and counts it in its pool.
/// A request that is sent again costs its account nothing.
pub(in crate::logic::direct) fn on_sent(
    state: &mut DirectState,
    now: Millis,
    id: u64,
    late: bool,
    out: &mut Vec<Effect>,
) {
    let Some(flight) = state.in_flight.get(&id) else {
        return;
    };
    let key = QueueKey::of(state, flight);
    let charge = flight.tried.is_empty();
    let engine = engine_of(state, &flight.service);
    let (account, cost) = (account(flight).clone(), cost(engine, flight));
    let used = state.admission.usage.of(now, &account);
    let pool = pool_mut(state, now, &key);
    pool.load.on_sent(now);
    let used = used + pool.lifts.of(now, &account);
    let lift = lowest_tag(pool.level.get(now), cost).saturating_sub(used);
    if lift > 0 {
        pool.lifts.charge(now, &account, lift);
    }
    pool.level.raise(now, used + lift);
    if late {
        pool.load.on_contention(now, id);
        state.admission.late += 1;
    }
    if charge && state.admission.usage.charge(now, &account, cost) {
        on_account_evicted(state, now, out);
    }
}

fn on_account_evicted(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let admission = &mut state.admission;
    admission.evicted += 1;
    let is_due = |at: Millis| now >= at + EVICTED_INTERVAL_MS;
    if admission.evicted_at.is_none_or(is_due) {
        admission.evicted_at = Some(now);
        let event = LogEvent::new(LogCode::AccountsEvicted)
            .with("kept", admission.usage.len())
            .with("evicted", admission.evicted);
        out.push(Effect::Log(event));
    }
}

fn pool_mut<'a>(state: &'a mut DirectState, now: Millis, key: &QueueKey) -> &'a mut PoolState {
    let is_new = !state.admission.pools.contains_key(key);
    let pool = state.admission.pools.entry(key.clone()).or_default();
    pool.used_at = now;
    if is_new {
        refresh_forecast(state, key);
    }
    state.admission.pools.entry(key.clone()).or_default()
}

/// Computes the forecast of a pool from its endpoints as they are now.
fn refresh_forecast(state: &mut DirectState, key: &QueueKey) {
    let Some(pool) = state.admission.pools.get(key) else {
        return;
    };
    let starts = pool.starts;
    let views = choose::responsive(state, &key.service, key.model.as_ref());
    let engine = engine_of(state, &key.service);
    let forecasts = views.filter_map(|view| {
        let expected = choose::expected_us(view, 0, engine) / 1_000;
        let own = view.start.forecast(expected);
        own.or_else(|| starts.forecast(expected))
    });
    let best = forecasts.min();
    let views = choose::responsive(state, &key.service, key.model.as_ref());
    let running = views.map(|v| u64::from(v.running)).sum();
    if let Some(pool) = state.admission.pools.get_mut(key) {
        // While no endpoint answers, the last forecast is the best guess.
        pool.forecast = best.or(pool.forecast);
        pool.load.set_running(running);
    }
}

/// Handles the beginning of the answer to a request's run: adapts the limit of its head, and learns
/// how long first events take. The limit is judged by what was left of the objective when the
/// request was sent; a request that was sent late says nothing about it.
pub(in crate::logic::direct) fn on_run_begun(state: &mut DirectState, now: Millis, id: u64) {
    let Some(flight) = state.in_flight.get(&id) else {
        return;
    };
    let Some(run) = flight.run.as_ref().filter(|r| !r.begun) else {
        return;
    };
    let took = now.saturating_sub(run.sent_at);
    let target = flight.route.target_ms;
    let waited = run.sent_at.saturating_sub(flight.arrived);
    let is_whole = flight.precedence == Precedence::Resumed || !is_active(state, &flight.service);
    let left = match run.late {
        _ if is_whole => Some(target),
        true => None,
        false => Some(target.saturating_sub(waited)),
    };
    let endpoint = run.endpoint.clone();
    concurrency_limit::on_run_begun(state, now, &endpoint, took, left);
    learn_start(state, now, id);
}

/// Learns from the first event of a request's run how long these take at its endpoint.
pub(in crate::logic::direct) fn learn_start(state: &mut DirectState, now: Millis, id: u64) {
    let Some(flight) = state.in_flight.get(&id) else {
        return;
    };
    let Some(run) = flight.run.as_ref().filter(|r| !r.begun) else {
        return;
    };
    if flight.precedence == Precedence::Resumed || !is_active(state, &flight.service) {
        return;
    }
    let key = QueueKey::of(state, flight);
    let took = now.saturating_sub(run.sent_at);
    let (endpoint, epoch, expected) = (run.endpoint.clone(), run.epoch, run.expected);
    let is_late = now > flight.arrived + flight.route.target_ms;
    if let Some(view) = state.endpoints.get_mut(&endpoint) {
        if view.epoch() == epoch {
            view.start.learn(took, expected);
        }
    }
    let pool = pool_mut(state, now, &key);
    pool.starts.learn(took, expected);
    if is_late {
        pool.load.on_contention(now, id);
    }
}

/// Handles the end of a complete answer: learns how long runs take.
pub(in crate::logic::direct) fn on_completed(state: &mut DirectState, now: Millis, id: u64) {
    let Some(flight) = state.in_flight.get(&id) else {
        return;
    };
    let Some(took) = flight.run.as_ref().map(|r| now.saturating_sub(r.sent_at)) else {
        return;
    };
    let key = QueueKey::of(state, flight);
    if let Some(pool) = state.admission.pools.get_mut(&key) {
        pool.load.on_run_completed(took);
    }
}

/// Sends a request, or enqueues it behind those that go before it, or refuses it.
pub(in crate::logic::direct) fn send_or_wait(
    state: &mut DirectState,
    now: Millis,
    id: u64,
    out: &mut Vec<Effect>,
) {
    let Some(flight) = state.in_flight.get(&id) else {
        return;
    };
    let key = QueueKey::of(state, flight);
    let is_alone = state.queues.get(&key).is_none_or(|q| q.waiting.is_empty());
    if is_alone && send::try_send(state, now, id, out) {
        return;
    }
    queue::enqueue(state, &key, id);
    let left = if is_alone {
        vec![id]
    } else {
        send_waiting(state, now, &key, out)
    };
    if let Some(ahead) = left.iter().position(|waiting| *waiting == id) {
        if let Some(why) = queue::unservable(state, now, id) {
            return finish::give_up(state, now, id, why, out);
        }
        pool_mut(state, now, &key);
        judge(state, now, id, ahead as u64, out);
        limit_queue(state, now, &key, &left, out);
    }
}

/// Refuses the last ones in the order if more wait than are sent in the time for which they may
/// wait.
fn limit_queue(
    state: &mut DirectState,
    now: Millis,
    key: &QueueKey,
    order: &[u64],
    out: &mut Vec<Effect>,
) {
    let refusable = order.iter().rev().copied();
    let refusable = refusable.filter(|id| state.in_flight.get(id).is_some_and(can_refuse));
    let Some(last) = refusable.into_iter().next() else {
        return;
    };
    let Some(flight) = state.in_flight.get(&last) else {
        return;
    };
    let wait = flight.wait_until.saturating_sub(flight.arrived);
    let queue = state.queues.entry(key.clone()).or_default();
    if queue.waiting_fresh() > queue.max_waiting(now, wait) {
        pool_mut(state, now, key).load.on_contention(now, last);
        finish::give_up(state, now, last, queue::FULL, out);
    }
}

/// Handles a request that is refused because it has waited as long as it may.
pub(in crate::logic::direct) fn on_no_room(state: &mut DirectState, now: Millis, id: u64) {
    if let Some(flight) = state.in_flight.get(&id) {
        let key = QueueKey::of(state, flight);
        pool_mut(state, now, &key).load.on_contention(now, id);
    }
}

/// Whether a refusal tells the caller that its request has not run.
fn can_refuse(flight: &InFlightRequest) -> bool {
    flight.precedence == Precedence::Fresh && flight.has_not_run() && !flight.head_sent
}

/// Refuses a waiting request with `ahead` others before it if that is better than waiting.
fn judge(state: &mut DirectState, now: Millis, id: u64, ahead: u64, out: &mut Vec<Effect>) {
    let Some(flight) = state.in_flight.get(&id).filter(|f| can_refuse(f)) else {
        return;
    };
    let key = QueueKey::of(state, flight);
    let pool = state.admission.pools.get(&key);
    let case = WaitingCase {
        contended: pool.is_some_and(|p| p.load.is_contended_for(now, id)),
        send_delay: pool.and_then(|p| p.load.send_delay(now, ahead)),
        ..waiting_case(pool, engine_of(state, &flight.service), now, flight)
    };
    if case.verdict() == Verdict::Refuse {
        let why = choose::blocking_limit(state, now, flight);
        state.admission.refused += 1;
        pool_mut(state, now, &key).load.on_contention(now, id);
        finish::give_up(state, now, id, why, out);
    } else if case.is_late() {
        pool_mut(state, now, &key).load.on_contention(now, id);
    }
}

/// What the order and the sending of waiting requests depend on.
struct Place {
    id: u64,
    late: bool,
    resumed: bool,
    /// Whether it was sent before: it skips the endpoint that it was last sent to.
    retried: bool,
    gap: Millis,
    prompt: u32,
}

impl Place {
    /// Whether it needs at least as much room as a request that found none. A longer pause between
    /// events allows more prompt tokens at a head.
    fn needs_room_of(&self, (gap, prompt): (Millis, u32)) -> bool {
        self.gap <= gap && self.prompt >= prompt
    }
}

/// The waiting requests of a pool in the order in which they are sent.
fn send_order(state: &DirectState, now: Millis, key: &QueueKey) -> Vec<Place> {
    let waiting = state.queues.get(key).into_iter().flat_map(|q| &q.waiting);
    let pool = state.admission.pools.get(key);
    let engine = engine_of(state, &key.service);
    let requests = waiting.filter_map(|(precedence, priority, id)| {
        let flight = state.in_flight.get(id)?;
        Some(QueuedRequest {
            id: *id,
            precedence: *precedence,
            late: is_late_in(pool, engine, now, flight),
            has_run: !flight.has_not_run(),
            priority: *priority,
            kept_appointment: flight.kept_appointment,
            account: account(flight),
            cost: cost(engine, flight),
        })
    });
    let usage = &state.admission.usage;
    let level = pool.map_or(0, |p| p.level.get(now));
    let used = |account: &str| {
        let lift = pool.map_or(0, |p| p.lifts.of(now, account));
        usage.of(now, account).saturating_add(lift)
    };
    let order = fair_order(requests.collect(), level, used);
    let place = |request: QueuedRequest| {
        let flight = state.in_flight.get(&request.id)?;
        Some(Place {
            id: request.id,
            late: request.late,
            resumed: request.precedence == Precedence::Resumed,
            retried: !flight.tried.is_empty(),
            gap: flight.route.gap_ms,
            prompt: flight.prompt_tokens,
        })
    };
    order.into_iter().filter_map(place).collect()
}

/// Sends the waiting requests of a pool in order as far as there is room; returns those that are
/// left. Where one found no room, those that need as much or more are not tried after it, and late
/// ones not at all: they get what those in time leave.
pub(in crate::logic::direct) fn send_waiting(
    state: &mut DirectState,
    now: Millis,
    key: &QueueKey,
    out: &mut Vec<Effect>,
) -> Vec<u64> {
    let mut left = Vec::new();
    let mut blocked: Vec<(Millis, u32)> = Vec::new();
    let mut in_time_waits = false;
    for place in send_order(state, now, key) {
        let needs_room = blocked.iter().any(|found| place.needs_room_of(*found));
        let is_blocked = blocked.len() >= MAX_BLOCKED || needs_room;
        let skip = !place.resumed && (is_blocked || (place.late && in_time_waits));
        if !skip && send::try_send(state, now, place.id, out) {
            continue;
        }
        left.push(place.id);
        // A resumed or retried request skips endpoints that it was sent to, which others may use.
        if !place.resumed && !place.retried {
            in_time_waits |= !place.late;
            if !skip {
                blocked.push((place.gap, place.prompt));
            }
        }
    }
    left
}

/// Refuses waiting requests that can't begin in time while others contend, and logs when
/// contention starts and ends.
pub(in crate::logic::direct) fn on_tick(
    state: &mut DirectState,
    now: Millis,
    out: &mut Vec<Effect>,
) {
    state.admission.usage.on_tick(now);
    let is_used = |state: &DirectState, key: &QueueKey, pool: &PoolState| {
        let waits = state.queues.get(key).is_some_and(|q| !q.waiting.is_empty());
        waits || now < pool.used_at + POOL_KEPT_MS
    };
    let keys: Vec<QueueKey> = state.admission.pools.keys().cloned().collect();
    for key in keys {
        let pool = &state.admission.pools[&key];
        if !is_active(state, &key.service) || !is_used(state, &key, pool) {
            state.admission.pools.remove(&key);
            continue;
        }
        refresh_forecast(state, &key);
        if let Some(pool) = state.admission.pools.get_mut(&key) {
            pool.lifts.on_tick(now);
        }
        // Time may have freed room: a rate, a back-off or a hold-off.
        let left = send_waiting(state, now, &key, out);
        let mut ahead = 0;
        for id in left {
            judge(state, now, id, ahead, out);
            ahead += u64::from(state.in_flight.contains_key(&id));
        }
        log_contention(state, now, &key, out);
    }
}

fn log_contention(state: &mut DirectState, now: Millis, key: &QueueKey, out: &mut Vec<Effect>) {
    let waiting = state.queues.get(key).map_or(0, |q| q.waiting.len());
    let Some(pool) = state.admission.pools.get_mut(key) else {
        return;
    };
    let contended = pool.load.is_contended(now);
    if contended == pool.contended {
        return;
    }
    pool.contended = contended;
    let forecast = pool.forecast.unwrap_or(0);
    let code = if contended {
        LogCode::PoolContended
    } else {
        LogCode::PoolCalm
    };
    let usage = &state.admission.usage;
    let all: u64 = usage.own(now).map(|(_, used)| used).sum();
    let largest = usage.own(now).max_by_key(|(_, used)| *used);
    let event = LogEvent::new(code)
        .with("service", &key.service)
        .with("model", key.model.as_deref().unwrap_or("-"))
        .with("waiting", waiting)
        .with("forecast", forecast)
        .with("largest", largest.map_or("-", |(account, _)| account))
        .with(
            "share",
            largest.map_or(0, |(_, used)| used * 1_000 / all.max(1)),
        );
    out.push(Effect::Log(event));
}
