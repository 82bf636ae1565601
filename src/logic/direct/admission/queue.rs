//! Requests that wait: for room at a head, for a head that takes requests, or until this
//! router knows the routing and the endpoint list.
//!
//! A late answer is worth more to a caller than a refusal, which costs it one of its few
//! tries. So a request waits for a part of its time, provided that no more requests wait
//! with it than are sent within that time, and that waiting has recently led to answers.
//! Requests that can still begin within their objective go first.

use super::{pool, Precedence, QueueKey};
use crate::logic::direct::{
    accept, choose, finish, send, DirectRequest, DirectState, InFlightRequest,
};
use crate::logic::Effect;
use crate::types::Millis;

/// A request may wait for its caller's time divided by this. A caller that is refused then
/// still has time for another try.
const MAX_WAIT_DIVISOR: Millis = 4;

/// A request waits for its objective divided by this if longer waits have recently ended in
/// refusals.
const SHORT_WAIT_DIVISOR: Millis = 6;

/// One request in this many waits for the full time even then, which shows when waiting
/// leads to answers again.
const FULL_WAIT_ONE_IN: u64 = 8;

/// How long a request may wait if its caller names no time.
const DEFAULT_WAIT_MS: Millis = 500;

/// Requests that keep an appointment have places beyond a full queue, as many as it has divided by this:
/// appointments are given for half of what a pool takes.
const KEPT_DIVISOR: u64 = 2;

/// Most requests held until the routing and the endpoint list are known, or until the routing was
/// read again after a pause. At the target fleet size a router gets 32 a second.
const MAX_HELD: usize = 256;

/// How long a request may wait whose caller waits for `wait` milliseconds.
pub(in crate::logic::direct) fn max_wait(wait: Option<Millis>) -> Millis {
    wait.map_or(DEFAULT_WAIT_MS, |wait| wait / MAX_WAIT_DIVISOR)
}

/// Handles a request that is sent to an endpoint: removes it from its queue and counts it. Returns
/// whether it is late.
pub(in crate::logic::direct) fn on_sent(
    state: &mut DirectState,
    now: Millis,
    id: u64,
    out: &mut Vec<Effect>,
) -> bool {
    remove(state, id);
    let Some(flight) = state.in_flight.get(&id) else {
        return false;
    };
    let late = pool::is_late(state, now, flight);
    let is_pooled = pool::is_active(state, &flight.service);
    let key = QueueKey::of(state, flight);
    state.queues.entry(key).or_default().on_sent(now, late);
    if is_pooled {
        pool::on_sent(state, now, id, late, out);
    }
    late
}

/// Enqueues a request that found no endpoint, or gives it up if it can't wait.
pub(in crate::logic::direct) fn wait_or_give_up(
    state: &mut DirectState,
    now: Millis,
    id: u64,
    out: &mut Vec<Effect>,
) {
    let Some(flight) = state.in_flight.get(&id).cloned() else {
        return;
    };
    let key = QueueKey::of(state, &flight);
    let is_pooled = pool::is_active(state, &flight.service);
    let queue = state.queues.entry(key.clone()).or_default();
    let end = wait_end(&flight, id, is_pooled || queue.is_effective(now));
    if now >= end {
        if is_pooled {
            pool::on_no_room(state, now, id);
        } else if flight.is_late(now) {
            queue.on_refused(now);
        }
        return finish::give_up(state, now, id, NO_ROOM, out);
    }
    if is_held_off(state, now, &flight, end) {
        return finish::give_up(state, now, id, HELD_OFF, out);
    }
    let queue = state.queues.entry(key.clone()).or_default();
    let wait = flight.wait_until.saturating_sub(flight.arrived);
    let most = queue.max_waiting(now, wait);
    let beyond = u64::from(flight.kept_appointment) * most / KEPT_DIVISOR;
    let fits = queue.waiting_fresh() < most + beyond;
    let is_open = flight.head_sent || choose::has_open_hall(state, &flight.service);
    let queue = state.queues.entry(key.clone()).or_default();
    let active = (queue.has_sent(now) || flight.head_sent) && is_open;
    if !active && !choose::has_candidate(state, &flight) {
        return finish::give_up(state, now, id, NO_ENDPOINT, out);
    }
    let place = (flight.precedence, flight.priority, id);
    if fits || flight.precedence == Precedence::Resumed {
        insert(state, &key, place);
        return;
    }
    // A request that is not late takes the place of the late one that has waited longest.
    match oldest_late(state, now, &key) {
        Some(old) if !flight.is_late(now) => {
            insert(state, &key, place);
            remove(state, old);
            finish::give_up(state, now, old, FULL, out);
        }
        _ => finish::give_up(state, now, id, FULL, out),
    }
}

/// Why a request that waits in the queue of its pool, or would have to, is refused whatever others
/// do, if it is.
pub(in crate::logic::direct) fn unservable(
    state: &mut DirectState,
    now: Millis,
    id: u64,
) -> Option<&'static str> {
    let flight = state.in_flight.get(&id)?;
    if now >= flight.wait_until {
        return Some(NO_ROOM);
    }
    if is_held_off(state, now, flight, flight.wait_until) {
        return Some(HELD_OFF);
    }
    let is_open = flight.head_sent || choose::has_open_hall(state, &flight.service);
    let has_candidate = choose::has_candidate(state, flight);
    let key = QueueKey::of(state, flight);
    let head_sent = flight.head_sent;
    let queue = state.queues.entry(key).or_default();
    let active = (queue.has_sent(now) || head_sent) && is_open;
    (!active && !has_candidate).then_some(NO_ENDPOINT)
}

/// Adds a request to the queue of its pool.
pub(in crate::logic::direct) fn enqueue(state: &mut DirectState, key: &QueueKey, id: u64) {
    let Some(flight) = state.in_flight.get(&id) else {
        return;
    };
    let place = (flight.precedence, flight.priority, id);
    let queue = state.queues.entry(key.clone()).or_default();
    queue.waiting.insert(place);
}

/// Moves the waiting requests to the queues that a new routing asks for: it may change whether the
/// requests of a service wait in one queue.
pub(in crate::logic::direct) fn on_routing_changed(state: &mut DirectState) {
    let queues = state.queues.values_mut();
    let waiting: Vec<_> = queues
        .flat_map(|queue| std::mem::take(&mut queue.waiting))
        .collect();
    for (.., id) in waiting {
        if let Some(flight) = state.in_flight.get(&id) {
            let key = QueueKey::of(state, flight);
            enqueue(state, &key, id);
        }
    }
}

/// Reasons of refusals.
const NO_ROOM: &str = "no endpoint had room in time";
const NO_ENDPOINT: &str = "no endpoint can serve it";
pub(super) const FULL: &str = "the wait queue is full";

/// Reason of a refusal where every endpoint that can serve a request holds off.
const HELD_OFF: &str = "every endpoint that can serve it holds off";

/// Whether every endpoint that can serve a request holds off until its wait ends or longer. A stream
/// that has begun waits on all the same: its caller would lose it.
fn is_held_off(
    state: &DirectState,
    now: Millis,
    flight: &InFlightRequest,
    wait_end: Millis,
) -> bool {
    let end = choose::hold_off_end(state, now, flight);
    !flight.head_sent && end.is_some_and(|end| end >= wait_end)
}

/// Refuses the waiting requests of services all of whose halls are evacuated, and those that every
/// endpoint holds off for longer than they wait. A stream that was begun waits on: its caller would
/// lose it.
pub(in crate::logic::direct) fn refuse_unservable(
    state: &mut DirectState,
    now: Millis,
    out: &mut Vec<Effect>,
) {
    let waiting = state.queues.values().flat_map(|q| q.waiting.iter());
    let waiting: Vec<u64> = waiting.map(|(.., id)| *id).collect();
    for id in waiting {
        let end = current_wait_end(state, now, id);
        let flight = state.in_flight.get(&id).filter(|f| !f.head_sent);
        let Some((flight, end)) = flight.zip(end) else {
            continue;
        };
        if !choose::has_open_hall(state, &flight.service) {
            let why = "every data hall of the service is evacuated";
            finish::give_up(state, now, id, why, out);
        } else if is_held_off(state, now, flight, end) {
            finish::give_up(state, now, id, HELD_OFF, out);
        }
    }
}

/// Time at which a request's wait ends; `effective` says whether waiting has recently led
/// to answers. A request that was sent before has already lost time, and waits for the
/// full time.
fn wait_end(flight: &InFlightRequest, id: u64, effective: bool) -> Millis {
    let full =
        effective || flight.head_sent || !flight.tried.is_empty() || id % FULL_WAIT_ONE_IN == 0;
    if full {
        flight.wait_until
    } else {
        let short = flight.arrived + flight.route.target_ms / SHORT_WAIT_DIVISOR;
        flight.wait_until.min(short)
    }
}

fn insert(state: &mut DirectState, key: &QueueKey, place: (Precedence, u8, u64)) {
    if let Some(queue) = state.queues.get_mut(key) {
        queue.waiting.insert(place);
    }
}

/// The oldest of the late requests in a queue.
fn oldest_late(state: &DirectState, now: Millis, key: &QueueKey) -> Option<u64> {
    let queue = state.queues.get(key)?;
    let late = |id: &u64| state.in_flight.get(id).is_some_and(|f| f.is_late(now));
    queue.waiting.iter().map(|(.., id)| *id).filter(late).min()
}

/// Removes a request from its queue, if it waits in one.
pub(in crate::logic::direct) fn remove(state: &mut DirectState, id: u64) {
    let Some(flight) = state.in_flight.get(&id) else {
        return;
    };
    let place = (flight.precedence, flight.priority, id);
    let key = QueueKey::of(state, flight);
    if let Some(queue) = state.queues.get_mut(&key) {
        queue.waiting.remove(&place);
    }
}

/// Sends waiting requests as far as endpoints have room. Pools are passed over if the event can't
/// have freed any.
pub(in crate::logic::direct) fn send_waiting(
    state: &mut DirectState,
    now: Millis,
    may_free_room: bool,
    out: &mut Vec<Effect>,
) {
    let waiting = state.queues.iter().filter(|(_, l)| !l.waiting.is_empty());
    let keys: Vec<QueueKey> = waiting.map(|(key, _)| key.clone()).collect();
    for key in keys {
        if pool::is_active(state, &key.service) {
            if may_free_room {
                pool::send_waiting(state, now, &key, out);
            }
            continue;
        }
        for id in send_order(state, now, &key) {
            let sent = send::try_send(state, now, id, out);
            // A resumed request skips endpoints that it was sent to, which others may use.
            let resumed = state
                .in_flight
                .get(&id)
                .is_some_and(|f| f.precedence == Precedence::Resumed);
            if !sent && !resumed {
                break;
            }
        }
    }
}

/// Requests of one queue in the order in which they are sent: by turn, the late ones last,
/// then by priority, kept appointments and arrival.
fn send_order(state: &DirectState, now: Millis, key: &QueueKey) -> Vec<u64> {
    let Some(queue) = state.queues.get(key) else {
        return Vec::new();
    };
    let late = |id: &u64| state.in_flight.get(id).is_some_and(|f| f.is_late(now));
    let is_fresh = |id: &u64| state.in_flight.get(id).is_some_and(|f| !f.kept_appointment);
    let sorted = queue
        .waiting
        .iter()
        .map(|(precedence, priority, id)| (*precedence, late(id), *priority, is_fresh(id), *id));
    let mut sorted: Vec<_> = sorted.collect();
    sorted.sort_unstable();
    sorted.into_iter().map(|(.., id)| id).collect()
}

/// Ends the wait of requests whose time to wait is over, in the queues and among those held by
/// `hold`.
pub(in crate::logic::direct) fn on_tick(
    state: &mut DirectState,
    now: Millis,
    out: &mut Vec<Effect>,
) {
    let waiting = state.queues.values().flat_map(|l| l.waiting.iter());
    let waiting: Vec<u64> = waiting.map(|(.., id)| *id).collect();
    for id in waiting {
        if is_wait_over(state, now, id) {
            remove(state, id);
            wait_or_give_up(state, now, id, out);
        }
    }
    state
        .queues
        .retain(|_, queue| queue.has_sent(now) || !queue.waiting.is_empty());
    let held = |(at, request): &(Millis, DirectRequest)| now < at + max_wait(request.wait_ms);
    let (held, over) = std::mem::take(&mut state.held_requests)
        .into_iter()
        .partition(held);
    state.held_requests = held;
    for (_, mut request) in over {
        let waited = max_wait(request.wait_ms);
        request.wait_ms = request.wait_ms.map(|wait| wait - waited);
        accept::refuse_not_ready(state, &request, out);
    }
}

fn is_wait_over(state: &mut DirectState, now: Millis, id: u64) -> bool {
    current_wait_end(state, now, id).is_some_and(|end| now >= end)
}

/// Time at which a request's wait ends by what its queue shows now.
fn current_wait_end(state: &mut DirectState, now: Millis, id: u64) -> Option<Millis> {
    let flight = state.in_flight.get(&id)?;
    let is_pooled = pool::is_active(state, &flight.service);
    let key = QueueKey::of(state, flight);
    let queue = state.queues.get_mut(&key);
    let effective = is_pooled || queue.is_none_or(|q| q.is_effective(now));
    Some(wait_end(flight, id, effective))
}

/// Holds a request until the routing and the endpoint list are known and no reading of the routing
/// after a pause is awaited; false if there are too many.
pub(in crate::logic::direct) fn hold(
    state: &mut DirectState,
    now: Millis,
    request: &DirectRequest,
) -> bool {
    let has_room = state.held_requests.len() < MAX_HELD;
    if has_room {
        state.held_requests.push((now, request.clone()));
    }
    has_room
}

/// Admits the held requests once the routing and the endpoint list are known and no reading of the
/// routing after a pause is awaited.
pub(in crate::logic::direct) fn admit_held(
    state: &mut DirectState,
    now: Millis,
    out: &mut Vec<Effect>,
) {
    if state.routing.is_none() || !state.listed || state.pause.waiting_since.is_some() {
        return;
    }
    for (at, request) in std::mem::take(&mut state.held_requests) {
        accept::admit(state, now, at, request, out);
    }
}
