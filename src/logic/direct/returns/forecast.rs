//! Forecast of what a pool takes of this router over the next seconds.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{CapacityForecast, Opening, PoolKey};
use crate::logic::direct::{DirectState, EndpointView, Mechanism};
use crate::types::{EngineSpec, Millis, SeatState};

/// Time between two surveys of the pools.
const SURVEY_INTERVAL_MS: Millis = 100;

/// Time for which a forecast is used again: many requests are refused at once, and each forecast goes
/// through all endpoints.
const FORECAST_MAX_AGE_MS: Millis = 50;

/// Largest number of pools. Beyond it, the one that was sent nothing for longest is evicted.
const MAX_POOLS: usize = 64;

/// Time after which a group that should be open by now is expected.
const OVERDUE_MS: Millis = 500;

/// How long a group may be overdue before it is no longer expected: loads beyond those that run at full
/// speed take about twice their time.
const MAX_OVERDUE_MS: Millis = 2_000;

/// The forecast for a pool, as of at most `FORECAST_MAX_AGE_MS` ago; none if nothing is known of what one
/// of its endpoints takes.
pub(super) fn recent_forecast(
    state: &mut DirectState,
    now: Millis,
    pool: &PoolKey,
) -> Option<CapacityForecast> {
    if let Some((at, forecast)) = state.returns.forecasts.get(pool) {
        if now < at + FORECAST_MAX_AGE_MS {
            return forecast.clone();
        }
    }
    let forecast = forecast(state, now, pool);
    let forecasts = &mut state.returns.forecasts;
    if forecasts.len() >= MAX_POOLS {
        forecasts.clear();
    }
    forecasts.insert(pool.clone(), (now, forecast.clone()));
    forecast
}

fn forecast(state: &DirectState, now: Millis, pool: &PoolKey) -> Option<CapacityForecast> {
    let known = state.returns.rates.get(pool);
    let rate = known
        .and_then(|r| r.per_endpoint(now))
        .or_else(|| published_rate(state, pool))?;
    let mut forecast = CapacityForecast::default();
    for view in endpoints(state, pool) {
        add_endpoint(&mut forecast, now, view, rate);
    }
    let openings = state.returns.openings.values();
    for opening in openings.filter(|o| serves(&o.pool, pool) && now <= o.at + MAX_OVERDUE_MS) {
        let at = if opening.at <= now {
            now + OVERDUE_MS
        } else {
            opening.at
        };
        forecast.add(at, rate);
    }
    Some(forecast)
}

/// Counts a request that was sent in time to an endpoint of a pool.
pub(super) fn count_sent(state: &mut DirectState, now: Millis, pool: PoolKey) {
    let rates = &mut state.returns.rates;
    rates.entry(pool).or_default().on_sent(now);
    if rates.len() > MAX_POOLS {
        let oldest = rates.iter().min_by_key(|(_, rate)| rate.sent_at);
        if let Some(pool) = oldest.map(|(pool, _)| pool.clone()) {
            rates.remove(&pool);
        }
    }
}

/// Records how many endpoints of each pool take requests, and the groups that are being formed, when
/// that is due.
pub(super) fn survey(state: &mut DirectState, now: Millis) {
    let since = now.saturating_sub(state.returns.surveyed_at);
    if since < SURVEY_INTERVAL_MS {
        return;
    }
    state.returns.surveyed_at = now;
    let ms = since.min(2 * SURVEY_INTERVAL_MS);
    let mut rates = std::mem::take(&mut state.returns.rates);
    for (pool, rate) in &mut rates {
        let available = endpoints(state, pool).filter(|v| available_from(v, now) == Some(now));
        let available = available.filter(|v| v.cold.is_none()).count() as u64;
        rate.record_endpoints(now, available, ms);
    }
    state.returns.rates = rates;
    state.returns.openings = openings(state, now);
}

/// Endpoints that serve a pool, whether they take requests now or not.
fn endpoints<'a>(
    state: &'a DirectState,
    pool: &'a PoolKey,
) -> impl Iterator<Item = &'a EndpointView> {
    let has_groups = engine(state, &pool.service).is_some();
    state.endpoints.values().filter(move |v| {
        let is_of_service = v.listed && !v.is_leaving() && v.entry.service == pool.service;
        let has_model = pool.model.is_none() || v.entry.model == pool.model;
        is_of_service
            && (!has_groups || (v.is_open_head() && has_model))
            && !state.evacuation.contains(&v.entry.hall)
    })
}

/// Adds what an endpoint of a pool takes, where one that isn't disturbed takes `rate`.
fn add_endpoint(forecast: &mut CapacityForecast, now: Millis, view: &EndpointView, rate: u64) {
    let Some(from) = available_from(view, now) else {
        return;
    };
    let Some(cold) = view.cold.as_ref().filter(|c| from < c.until) else {
        return forecast.add(from, rate);
    };
    if let Some(gap) = cold.share.gap {
        let cold_rate = 1_000_000 / gap.max(1);
        forecast.add_until(from, cold.until, cold_rate.min(rate));
    }
    forecast.add(cold.until, rate);
}

/// From when an endpoint takes requests; none while it is silent, as nobody knows.
fn available_from(view: &EndpointView, now: Millis) -> Option<Millis> {
    let held = view.hold_off.as_ref().map_or(0, |h| h.until);
    let from = now.max(view.backoff_until).max(held);
    view.silent_since.is_none().then_some(from)
}

/// Rate of this router at one group by the published values, in thousandths of a request a second: a
/// group that is half full, shared evenly among the routers. None if they aren't published.
fn published_rate(state: &DirectState, pool: &PoolKey) -> Option<u64> {
    let engine = engine(state, &pool.service)?;
    let model = engine.model(pool.model.as_deref()?)?;
    let runs = u64::from(engine.slots / 2);
    let step_us = engine.step_us + runs * engine.per_request_ns / 1_000;
    let read_us = (u64::from(engine.usual_prompt) * 1_000_000).checked_div(engine.read_rate)?;
    let took_us = (read_us + u64::from(engine.usual_answer) * step_us) * model.pace / 1_000;
    let routers = state.peers.len() as u64 + 1;
    let is_published = engine.usual_answer > 0 && took_us > 0;
    is_published.then(|| runs * 1_000_000_000 / took_us / routers)
}

/// Groups that are being formed: those in the list, and those that this router forms as the planner.
fn openings(state: &DirectState, now: Millis) -> BTreeMap<Arc<str>, Opening> {
    let mut found = BTreeMap::new();
    for view in state.endpoints.values().filter(|v| v.listed) {
        let entry = &view.entry;
        let Some(seat) = entry.seat.as_ref().filter(|s| s.rank == 0) else {
            continue;
        };
        let pool = PoolKey {
            service: entry.service.clone(),
            model: entry.model.clone(),
        };
        let is_evacuated = state.evacuation.contains(&entry.hall);
        let left = time_to_open(state, &pool, seat.state).filter(|_| !is_evacuated);
        let Some(left) = left.filter(|_| !view.is_leaving() && view.silent_since.is_none()) else {
            continue;
        };
        let known = state.returns.openings.get(&seat.group);
        let known = known.filter(|o| o.state == seat.state && o.pool == pool);
        let opening = known.cloned().unwrap_or(Opening {
            pool,
            state: seat.state,
            at: now + left,
        });
        found.insert(seat.group.clone(), opening);
    }
    let own = &state.plan.forming;
    let is_silent = |name: &Arc<str>| {
        let mut silent = state
            .endpoints
            .values()
            .filter(|v| v.silent_since.is_some());
        silent.any(|v| {
            v.entry
                .seat
                .as_ref()
                .is_some_and(|s| s.rank == 0 && s.group == *name)
        })
    };
    let own = own.iter().filter(|(name, _)| !is_silent(name));
    for (name, group) in own.filter(|_| state.plan.lease.holds(now)) {
        let pool = PoolKey {
            service: group.service.clone(),
            model: Some(group.model.clone()),
        };
        let state_seen = SeatState::Joining;
        if let Some(left) = time_to_open(state, &pool, state_seen) {
            found.entry(name.clone()).or_insert(Opening {
                pool,
                state: state_seen,
                at: group.started_at + left,
            });
        }
    }
    found
}

/// Usual time until a group opens whose head's seat has just got into this state; none unless it is
/// being formed.
fn time_to_open(state: &DirectState, pool: &PoolKey, seat: SeatState) -> Option<Millis> {
    let engine = engine(state, &pool.service)?;
    let model = engine.model(pool.model.as_deref()?)?;
    match seat {
        SeatState::Joining => Some(model.warm_ms + engine.form_ms),
        SeatState::Ready => Some(engine.form_ms),
        SeatState::Open | SeatState::Closing | SeatState::Broken => None,
    }
}

/// Whether the endpoints of one pool serve the requests of another: a request that asks for no model
/// is served by those of all.
fn serves(endpoints: &PoolKey, requests: &PoolKey) -> bool {
    let has_model = requests.model.is_none() || endpoints.model == requests.model;
    endpoints.service == requests.service && has_model
}

pub(super) fn engine<'a>(state: &'a DirectState, service: &str) -> Option<&'a EngineSpec> {
    let routing = state.routing.as_ref()?;
    routing.services.get(service)?.engine.as_ref()
}

/// Whether returns are switched on for any service.
pub(super) fn is_active_anywhere(state: &DirectState) -> bool {
    let services = state.routing.iter().flat_map(|r| r.services.values());
    let mut engines = services.map(|s| s.engine.as_ref());
    engines.any(|e| state.params.is_active(Mechanism::Returns, e))
}
