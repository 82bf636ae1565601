use super::admission::{pool, queue};
use super::limits::{cold, hold_off, named_before, rate_limit};
use super::{
    accept, answer, attribution, crashes, demand, digests, endpoints, evacuation, finish, leaving,
    list_log, list_start, peers, plan, process_pause, restart_claims, returns, silence,
    store_restore, DirectEffect, DirectEvent, DirectState, RunPart, ShutdownStage,
};
use crate::logic::{Effect, Event, LogCode, LogEvent};
use crate::types::{Millis, Routing};
use std::sync::Arc;

/// Applies one event to a router with direct links.
pub(crate) fn step(state: &mut DirectState, now: Millis, event: Event, out: &mut Vec<Effect>) {
    if state.started.is_none() {
        state.started = Some(now);
        state.ticked_at = now;
        state.previous_tick = now;
    }
    process_pause::detect(state, now, out);
    plan::send_queued_orders(state, now, out);
    // An arrival frees no room either, and has sent what waits before it.
    let is_arrival = matches!(event, Event::Direct(DirectEvent::Request(_)));
    let may_free_room = !is_arrival && !is_stream_event(&event);
    match event {
        Event::Stop => on_stop(state),
        Event::Store { call, result } if state.registration.call == Some(call) => {
            peers::on_store_reply(state, now, &result);
        }
        Event::Store { call, result } if state.crashes.store.call == Some(call) => {
            crashes::on_store_reply(state, now, &result);
        }
        Event::Store { call, result } => plan::on_store_reply(state, now, call, result, out),
        Event::Watch(changes) => {
            peers::on_watch_changes(state, &changes);
            crashes::on_watch_changes(state, now, &changes, out);
            plan::on_watch_changes(state, now, &changes);
        }
        Event::WatchInterrupted => plan::on_watch_lost(state),
        Event::Direct(event) => on_direct_event(state, now, event, out),
        Event::Tick => on_tick(state, now, out),
        _ => {}
    }
    queue::admit_held(state, now, out);
    queue::send_waiting(state, now, may_free_room, out);
    list_log::write(state, out);
    plan::request_order_sending(state, now, out);
    notify_readiness(state, out);
    digests::on_tick(state, now, out);
}

/// Whether an event is one of a stream that goes on: it leaves the room at its head as it is.
fn is_stream_event(event: &Event) -> bool {
    let Event::Direct(DirectEvent::RunPart { part, .. }) = event else {
        return false;
    };
    matches!(part, RunPart::Event { .. })
}

fn on_direct_event(
    state: &mut DirectState,
    now: Millis,
    event: DirectEvent,
    out: &mut Vec<Effect>,
) {
    match event {
        DirectEvent::Routing(routing) => {
            state.digests.routing_at = state.previous_tick;
            on_routing(state, routing, out);
        }
        DirectEvent::RoutingRelayed(routing) => on_routing(state, routing, out),
        DirectEvent::HallsRead { at, halls } => {
            evacuation::on_halls_read(state, now, at, halls, out)
        }
        DirectEvent::HallChanges { at, changes } => {
            evacuation::on_hall_changes(state, now, at, changes, out)
        }
        DirectEvent::ColdNamed { id, ms } => cold::on_cold_named(state, now, &id, ms, out),
        DirectEvent::HoldOff { id, run, ms } => {
            hold_off::on_hold_off(state, now, &id, run, ms, out)
        }
        DirectEvent::LeavingNamed(id) => leaving::on_announced(state, now, &id, out),
        DirectEvent::StoreBack => peers::notify_store_back(state, out),
        DirectEvent::RoutingRead => state.digests.routing_at = state.previous_tick,
        DirectEvent::RoutingChecked { read_number } => {
            process_pause::on_routing_checked(state, read_number)
        }
        DirectEvent::StoreEra(era) => store_restore::on_store_era(state, now, era, out),
        DirectEvent::ListRead { at, entries } => {
            let before = digests::position_before(state, at);
            state.listed_at = state.listed_at.max(at);
            state.list_start.decided = true;
            endpoints::on_list_read(state, now, entries, out);
            state.digests.list_incomplete = false;
            digests::on_list_read(state, now, before, at);
        }
        DirectEvent::ListLost => list_start::on_list_lost(state, now),
        DirectEvent::ListFetched { from, snapshot } => {
            list_start::on_fetched(state, now, from, snapshot.map(|s| *s), out)
        }
        DirectEvent::ListChanges { at, changes } => {
            digests::on_list_changes(state, now, at, changes, out)
        }
        DirectEvent::Request(request) => accept::on_request(state, now, *request, out),
        DirectEvent::CallerGone(id) => finish::on_caller_gone(state, id, out),
        DirectEvent::RunPart { run, part } => answer::on_run_part(state, now, run, part, out),
        DirectEvent::RateLimit { id, run, rate } => {
            rate_limit::on_answer_rate(state, now, &id, run, rate, out)
        }
        DirectEvent::Probed { id, result } => {
            let result = attribution::attribute(state, &id, result);
            peers::on_probe_result(state, now, &id, &result, out);
            crashes::on_probe_result(state, now, &id, &result, out);
            restart_claims::on_probe_result(state, now, &id, &result, out);
            named_before::on_probe_result(state, &id, &result);
            plan::on_probe_result(state, now, &id, result, out);
        }
        DirectEvent::PeerMessage { from, message } => {
            peers::on_message(state, now, from, message, out)
        }
        // Each event sends what is queued.
        DirectEvent::SendOrders => {}
        DirectEvent::OrderResult { order, result } => {
            plan::on_order_result(state, now, order, result, out)
        }
    }
}

/// Puts a version of the routing into force, unless it is older than the one in force.
fn on_routing(state: &mut DirectState, routing: Arc<Routing>, out: &mut Vec<Effect>) {
    let known = state.routing.as_ref().map_or(0, |r| r.version);
    if state.routing.is_some() && routing.version < known {
        let event = LogEvent::new(LogCode::RoutingOlder)
            .with("version", routing.version)
            .with("in_force", known);
        return out.push(Effect::Log(event));
    }
    if state.routing.is_some() && routing.version == known {
        return;
    }
    let event = LogEvent::new(LogCode::RoutingInForce)
        .with("version", routing.version)
        .with("before", known);
    out.push(Effect::Log(event));
    let before = state.routing.take();
    let logged = before.as_ref().map_or(&[][..], |r| &r.missing_values);
    for missing in routing
        .missing_values
        .iter()
        .filter(|missing| !logged.contains(missing))
    {
        let event = LogEvent::new(LogCode::ValueMissing)
            .with("place", &missing.place)
            .with("found", &missing.found)
            .with("used", &missing.used);
        out.push(Effect::Log(event));
    }
    state.routing = Some(routing);
    queue::on_routing_changed(state);
    state.digests.has_changes = true;
}

/// Begins the shutdown. A signal that came while this process handled another event is noticed late,
/// so the time to shut down counts from the tick before that.
fn on_stop(state: &mut DirectState) {
    state.stop_since.get_or_insert(state.previous_tick);
}

fn on_tick(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    state.previous_tick = state.ticked_at;
    state.ticked_at = now;
    process_pause::on_tick(state, now, out);
    finish::on_tick(state, now, out);
    pool::on_tick(state, now, out);
    queue::on_tick(state, now, out);
    silence::on_tick(state, now, out);
    endpoints::on_tick(state, now);
    restart_claims::on_tick(state, now, out);
    rate_limit::on_tick(state, now, out);
    cold::on_tick(state, now);
    hold_off::on_tick(state, now, out);
    named_before::on_tick(state, now);
    evacuation::on_tick(state, now, out);
    peers::on_tick(state, now, out);
    list_start::on_tick(state, now, out);
    crashes::on_tick(state, now, out);
    demand::on_tick(state, now, out);
    returns::on_tick(state, now);
    plan::on_tick(state, now, out);
    advance_shutdown(state, now, out);
}

/// Part of the grace time for which callers are still accepted, in sixteenths.
const ACCEPT_SIXTEENTHS: Millis = 5;

/// Longest time for which callers are still accepted. The balancer checks each router once a second,
/// and after two failed checks it sends no more callers.
const MAX_ACCEPT_MS: Millis = 2_500;

/// Part of the grace time after which the process exits in any case, in sixteenths.
const EXIT_SIXTEENTHS: Millis = 15;

/// Time at which the process exits in any case, once it is shutting down.
pub(super) fn exit_by(state: &DirectState) -> Option<Millis> {
    let part = state.params.grace_ms / 16;
    state.stop_since.map(|since| since + EXIT_SIXTEENTHS * part)
}

/// Whether callers are accepted at `now`. This doesn't wait for the tick that closes the listener,
/// which is late if the process is busy: a request that is taken late has too little time left.
pub(super) fn accepts_callers(state: &DirectState, now: Millis) -> bool {
    let accept_ms = MAX_ACCEPT_MS.min(ACCEPT_SIXTEENTHS * (state.params.grace_ms / 16));
    let is_over = state
        .stop_since
        .is_some_and(|since| now >= since + accept_ms);
    state.shutdown == ShutdownStage::Accepting && !is_over
}

/// Advances the shutdown: stops accepting callers, then exits once all requests are answered or
/// the grace time is nearly over.
fn advance_shutdown(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let Some(since) = state.stop_since else {
        return;
    };
    let answered = state.in_flight.is_empty() && state.held_requests.is_empty();
    match state.shutdown {
        ShutdownStage::Accepting if !accepts_callers(state, now) => {
            state.shutdown = ShutdownStage::Draining;
            let event = LogEvent::new(LogCode::CallersRefused)
                .with("after", now.saturating_sub(since))
                .with("in_flight", state.in_flight.len());
            out.push(Effect::Log(event));
            out.push(Effect::Direct(DirectEffect::StopAccepting));
        }
        ShutdownStage::Draining if answered || exit_by(state).is_some_and(|by| now >= by) => {
            state.shutdown = ShutdownStage::Done;
            finish::end_unanswered(state, now, out);
            out.push(Effect::Exit);
        }
        _ => {}
    }
}

/// Reports a change of this router's readiness to the balancer.
fn notify_readiness(state: &mut DirectState, out: &mut Vec<Effect>) {
    let ready = state.routing.is_some() && state.listed && state.stop_since.is_none();
    if ready != state.reported_ready {
        state.reported_ready = ready;
        out.push(Effect::Direct(DirectEffect::Ready(ready)));
    }
}
