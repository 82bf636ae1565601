use super::{
    accept, answer, crashes, demand, digests, end, endpoints, pause, peers, plan, queue, rates,
    silence, store, DirectEffect, DirectEvent, DirectState, EndStage,
};
use crate::logic::{Effect, Event, Note, NoteCode};
use crate::types::{Millis, Routing};
use std::sync::Arc;

/// Applies one event to a router with direct links.
pub(crate) fn step(state: &mut DirectState, now: Millis, event: Event, out: &mut Vec<Effect>) {
    if state.started.is_none() {
        state.started = Some(now);
        state.ticked_at = now;
        state.drained_at = now;
    }
    pause::notice(state, now, out);
    match event {
        Event::Stop => stop(state, now),
        Event::Store { call, result } if state.presence.call == Some(call) => {
            peers::answered(state, now, &result);
        }
        Event::Store { call, result } if state.crashes.keep.call == Some(call) => {
            crashes::answered(state, now, &result);
        }
        Event::Store { call, result } => plan::on_store_reply(state, now, call, result, out),
        Event::Watch(changes) => {
            peers::changed(state, &changes);
            crashes::changed(state, now, &changes, out);
            plan::on_watch_changes(state, now, &changes);
        }
        Event::WatchLost => plan::on_watch_lost(state),
        Event::Direct(event) => direct(state, now, event, out),
        Event::Tick => tend(state, now, out),
        _ => {}
    }
    queue::take_up(state, now, out);
    queue::serve(state, now, out);
    tell_ready(state, out);
    digests::tend(state, now, out);
}

fn direct(state: &mut DirectState, now: Millis, event: DirectEvent, out: &mut Vec<Effect>) {
    match event {
        DirectEvent::Routing(routing) => {
            state.digests.routing_at = state.drained_at;
            routed(state, routing, out);
        }
        DirectEvent::StoreBack => peers::store_back(state, out),
        DirectEvent::RoutingRead => state.digests.routing_at = state.drained_at,
        DirectEvent::RoutingChecked { asked } => pause::checked(state, asked),
        DirectEvent::StoreEra(era) => store::entered(state, now, era, out),
        DirectEvent::List { at, entries } => {
            // What the first reading of an era shows isn't told as news, so that they begin
            // behind it.
            let before = if state.listed_once && state.listed_at.era == at.era {
                state.listed_at
            } else {
                at
            };
            state.listed_at = state.listed_at.max(at);
            endpoints::listed(state, now, entries, out);
            state.digests.skipped = false;
            digests::list_read(state, now, before, at);
        }
        DirectEvent::Changes { at, changes } => {
            let before = state.listed_at;
            state.listed_at = before.max(at);
            for (id, entry) in changes {
                endpoints::changed(state, now, id, entry, out);
            }
            digests::list_read(state, now, before, at);
        }
        DirectEvent::Request(request) => accept::arrived(state, now, *request, out),
        DirectEvent::Gone(id) => end::caller_gone(state, id, out),
        DirectEvent::Part { run, part } => answer::part(state, now, run, part, out),
        DirectEvent::Rated { id, run, rate } => rates::named(state, now, &id, run, rate, out),
        DirectEvent::Looked { id, result } => {
            peers::looked(state, now, &id, &result, out);
            crashes::looked(state, now, &id, &result, out);
            plan::on_probe_result(state, now, &id, result, out);
        }
        DirectEvent::Peer { from, message } => peers::said(state, now, from, message, out),
        DirectEvent::Ordered { order, result } => {
            plan::on_order_result(state, now, order, result, out)
        }
    }
}

/// Takes up a version of the routing; an older one changes nothing.
fn routed(state: &mut DirectState, routing: Arc<Routing>, out: &mut Vec<Effect>) {
    let known = state.routing.as_ref().map_or(0, |r| r.version);
    if state.routing.is_some() && routing.version < known {
        let note = Note::new(NoteCode::RoutingOlder)
            .with("version", routing.version)
            .with("in_force", known);
        return out.push(Effect::Note(note));
    }
    if state.routing.is_some() && routing.version == known {
        return;
    }
    let note = Note::new(NoteCode::RoutingInForce)
        .with("version", routing.version)
        .with("before", known);
    out.push(Effect::Note(note));
    let told = state.routing.take();
    let told = told.as_ref().map_or(&[][..], |r| &r.gaps);
    for gap in routing.gaps.iter().filter(|gap| !told.contains(gap)) {
        let note = Note::new(NoteCode::FigureMissing)
            .with("place", &gap.place)
            .with("found", &gap.found)
            .with("used", &gap.used);
        out.push(Effect::Note(note));
    }
    state.routing = Some(routing);
}

fn stop(state: &mut DirectState, now: Millis) {
    state.stopping.get_or_insert(now);
}

fn tend(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    state.drained_at = state.ticked_at;
    state.ticked_at = now;
    pause::tend(state, now, out);
    end::tend(state, now, out);
    queue::tend(state, now, out);
    silence::tend(state, now, out);
    endpoints::tend(state, now);
    rates::tend(state, now, out);
    peers::tend(state, now, out);
    crashes::tend(state, now, out);
    demand::tend(state, now, out);
    plan::on_tick(state, now, out);
    wind_up(state, now, out);
}

/// Parts of the time to stop, in sixteenths, until no more callers are taken:
/// by then the balancer has found out.
const DOORS: Millis = 6;

/// Parts of the time to stop, in sixteenths, until everything ends.
const LAST: Millis = 15;

/// Takes an orderly stop further: no more callers, then no more waiting.
fn wind_up(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let Some(since) = state.stopping else {
        return;
    };
    let part = state.knobs.grace_ms / 16;
    let answered = state.flights.is_empty() && state.early.is_empty();
    match state.ending {
        EndStage::Open if now >= since + DOORS * part => {
            state.ending = EndStage::Closed;
            out.push(Effect::Direct(DirectEffect::CloseDoors));
        }
        EndStage::Closed if answered || now >= since + LAST * part => {
            state.ending = EndStage::Over;
            out.push(Effect::Exit);
        }
        _ => {}
    }
}

fn tell_ready(state: &mut DirectState, out: &mut Vec<Effect>) {
    let ready = state.routing.is_some() && state.listed && state.stopping.is_none();
    if ready != state.ready {
        state.ready = ready;
        out.push(Effect::Direct(DirectEffect::Ready(ready)));
    }
}
