//! Appointments: given to refused requests, and kept by those that return in time.

use super::{forecast, PoolKey, ReturnBounds, RETURN_WINDOW_MS};
use crate::logic::direct::{
    choose, DirectState, Fingerprint, InFlightRequest, Mechanism, Precedence, QueueKey,
};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::{InstanceId, Millis};

/// Rule by which the time of a refused request is chosen.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Rule {
    FreeSlot,
    NoFreeSlot,
    CapacityUnknown,
    HasAppointment,
    RefusedAgain,
}

impl Rule {
    fn name(self) -> &'static str {
        match self {
            Rule::FreeSlot => "free slot",
            Rule::NoFreeSlot => "no free slot",
            Rule::CapacityUnknown => "capacity is unknown",
            Rule::HasAppointment => "has an appointment",
            Rule::RefusedAgain => "refused again",
        }
    }
}

/// Handles a request that was sent to an endpoint.
pub(in crate::logic::direct) fn on_sent(
    state: &mut DirectState,
    now: Millis,
    id: u64,
    to: &InstanceId,
) {
    let Some(flight) = state.in_flight.get(&id) else {
        return;
    };
    if !state.is_active(Mechanism::Returns, &flight.service) {
        return;
    }
    let in_time = flight.precedence == Precedence::Fresh && !flight.is_late(now);
    // The time of cold endpoints doesn't count in the rate, so neither does what they are sent.
    let is_cold = state.endpoints.get(to).is_some_and(|v| v.cold.is_some());
    let (fingerprint, pool) = (flight.fingerprint, PoolKey::of(state, flight));
    state.returns.table.forget(&fingerprint);
    if in_time && !is_cold {
        forecast::count_sent(state, now, pool);
    }
}

/// Handles a request that comes for a service; returns whether it keeps an appointment.
pub(in crate::logic::direct) fn on_arrival(
    state: &mut DirectState,
    now: Millis,
    (request, label): (&Fingerprint, &str),
    service: &str,
    out: &mut Vec<Effect>,
) -> bool {
    if !state.is_active(Mechanism::Returns, service) {
        return false;
    }
    let Some(at) = state.returns.table.keep(now, request) else {
        return false;
    };
    state.returns.kept += 1;
    let event = LogEvent::new(LogCode::AppointmentKept)
        .with("request", label)
        .with("fingerprint", request)
        .with("after", now - at);
    out.push(Effect::Log(event));
    true
}

/// Gives a request that is refused an appointment, if returns are switched on for its service and no
/// endpoint can have run it; returns the time until then.
pub(in crate::logic::direct) fn on_refused(
    state: &mut DirectState,
    now: Millis,
    id: u64,
    out: &mut Vec<Effect>,
) -> Option<Millis> {
    let flight = state.in_flight.get(&id)?;
    let may_return = flight.has_not_run() && !flight.head_sent;
    if !may_return || !state.is_active(Mechanism::Returns, &flight.service) {
        return None;
    }
    let (fingerprint, label) = (flight.fingerprint, flight.label.clone());
    let (pool, deadline) = (PoolKey::of(state, flight), flight.deadline);
    if flight.kept_appointment {
        state.returns.refused_again += 1;
        let event = LogEvent::new(LogCode::RefusedAgain)
            .with("request", &label)
            .with("fingerprint", fingerprint)
            .with("waited", now.saturating_sub(flight.arrived));
        out.push(Effect::Log(event));
        state.returns.table.record_spent(fingerprint, deadline);
    }
    let (at, rule) = choose_time(state, now, id, &pool)?;
    state.returns.given += 1;
    let event = LogEvent::new(LogCode::AppointmentGiven)
        .with("request", &label)
        .with("fingerprint", fingerprint)
        .with("in", at - now)
        .with("why", rule.name());
    out.push(Effect::Log(event));
    // Precedence without a free slot would be taken from fresh requests.
    if rule == Rule::FreeSlot {
        remember(state, now, fingerprint, at, &pool, out);
    }
    Some(at - now)
}

/// The time at which a refused request should come back, with the rule that it follows.
fn choose_time(
    state: &mut DirectState,
    now: Millis,
    id: u64,
    pool: &PoolKey,
) -> Option<(Millis, Rule)> {
    let random = state.random_below(u64::MAX);
    let forecast = forecast::recent_forecast(state, now, pool);
    let flight = state.in_flight.get(&id)?;
    let left = flight.deadline.saturating_sub(now);
    let bounds = ReturnBounds::new(left, flight.route.target_ms, state.params.again_ms);
    let latest = now + bounds.max;
    // Before the first endpoint takes requests again it would be refused once more.
    let held = choose::hold_off_end(state, now, flight).map_or(0, |end| end.saturating_sub(now));
    let not_before = latest.min(now.saturating_add(held));
    let is_spent = state.returns.table.is_spent(now, &flight.fingerprint);
    let upcoming = state.returns.table.upcoming(now, &flight.fingerprint);
    // A caller that has come early keeps its slot. Identical requests of other callers can't be told
    // from it: these are spread over the time in which the appointment can be kept.
    if let Some(at) = upcoming.filter(|_| !is_spent) {
        let at = at + random % RETURN_WINDOW_MS;
        return Some((at.clamp(not_before, latest), Rule::HasAppointment));
    }
    let Some(forecast) = forecast else {
        let ahead = bounds.late_time(0, held, random);
        return Some((now + ahead, Rule::CapacityUnknown));
    };
    let begin = forecast.first_capacity(now).map_or(0, |at| at - now);
    let late = now + bounds.late_time(begin, held, random);
    if is_spent {
        return Some((late, Rule::RefusedAgain));
    }
    let taken = state.returns.table.times(now, pool);
    let waiting = count_waiting(state, id, flight, pool);
    let free = forecast.earliest_free(now, latest, waiting, &taken);
    Some(match free {
        Some(at) => (at.max(not_before), Rule::FreeSlot),
        None => (late, Rule::NoFreeSlot),
    })
}

/// Number of requests other than the one that is refused that wait for a pool.
fn count_waiting(state: &DirectState, id: u64, refused: &InFlightRequest, pool: &PoolKey) -> u64 {
    let has_groups = forecast::engine(state, &pool.service).is_some();
    let queues = state
        .queues
        .iter()
        .filter(|(key, _)| key.service == pool.service && (!has_groups || key.model == pool.model));
    let waiting: usize = queues.map(|(_, queue)| queue.waiting.len()).sum();
    let place = (refused.precedence, refused.priority, id);
    let own = state.queues.get(&QueueKey::of(state, refused));
    let waits = own.is_some_and(|queue| queue.waiting.contains(&place));
    waiting as u64 - u64::from(waits)
}

fn remember(
    state: &mut DirectState,
    now: Millis,
    request: Fingerprint,
    at: Millis,
    pool: &PoolKey,
    out: &mut Vec<Effect>,
) {
    let returns = &mut state.returns;
    let has_room = returns.table.insert(now, request, at, pool);
    if !has_room && !returns.full {
        let event = LogEvent::new(LogCode::AppointmentsFull).with("count", returns.table.len());
        out.push(Effect::Log(event));
    }
    returns.full = !has_room;
}

/// Surveys the pools, and forgets appointments whose time is over.
pub(in crate::logic::direct) fn on_tick(state: &mut DirectState, now: Millis) {
    if forecast::is_active_anywhere(state) {
        forecast::survey(state, now);
        state.returns.table.remove_over(now);
    }
}
