use super::{admission, claims, grant, lead, leave, load, pump, report, runs, AgentState, Hold};
use crate::logic::{Effect, EndpointEvent, Event, Note, NoteCode, Peer, PeerRole};
use crate::message::Message;
use crate::types::{Brief, InstanceId, Millis};

/// Applies one event to an agent.
pub(crate) fn step(state: &mut AgentState, now: Millis, event: Event, out: &mut Vec<Effect>) {
    match event {
        Event::Stop => {
            state.stopping = true;
            leave::begin(state, now, out);
        }
        Event::Up(peer) => opened(state, now, &peer, out),
        Event::Down(id) => closed(state, &id, out),
        Event::Message { from, message } => message_in(state, now, &from, message, out),
        Event::Endpoint(event) => endpoint(state, now, event, out),
        // Ticks only need what follows; the rest is for routers.
        _ => {}
    }
    tend(state, now, out);
}

/// What is done after every event: time may have passed since the last one.
fn tend(state: &mut AgentState, now: Millis, out: &mut Vec<Effect>) {
    grant::expire(state, now, out);
    state.memory.expire(now);
    runs::refuse_late(state, now, out);
    lead::tend(state, now, out);
    pump::pump(state, now, out);
    report::on_change(state, now, out);
    leave::exit_when_done(state, out);
}

fn opened(state: &mut AgentState, now: Millis, peer: &Peer, out: &mut Vec<Effect>) {
    match peer.role {
        PeerRole::Router => {
            state.routers.insert(peer.id.clone(), None);
            report::greet(state, now, &peer.id, out);
        }
        PeerRole::Agent => {
            // A member can be reached again: ask at once instead of at the next round.
            if let Some(lead) = &mut state.lead {
                lead.next_ask = now;
            }
        }
    }
}

fn closed(state: &mut AgentState, id: &InstanceId, out: &mut Vec<Effect>) {
    if state.routers.remove(id).is_some() {
        runs::router_gone(state, id, out);
    }
}

fn message_in(
    state: &mut AgentState,
    now: Millis,
    from: &Peer,
    message: Message,
    out: &mut Vec<Effect>,
) {
    match from.role {
        PeerRole::Router => from_router(state, now, &from.id, message, out),
        PeerRole::Agent => from_agent(state, now, from, message, out),
    }
}

fn from_router(
    state: &mut AgentState,
    now: Millis,
    from: &InstanceId,
    message: Message,
    out: &mut Vec<Effect>,
) {
    match message {
        Message::Assign(record) => lead::assigned(state, now, *record, out),
        Message::Release { group, epoch } => lead::released(state, &group, epoch, out),
        Message::Leave => leave::begin(state, now, out),
        Message::Brief(brief) => adopt(state, brief, out),
        Message::Run(order) => admission::ordered(state, now, from, *order, out),
        Message::Cancel(run) => runs::cancelled(state, from, &run, out),
        Message::Query {
            run,
            once,
            incarnation,
            bar,
        } => {
            let query = claims::Query {
                run,
                once,
                incarnation,
                bar,
            };
            claims::queried(state, now, from, &query, out);
        }
        _ => unexpected(from, out),
    }
}

fn from_agent(
    state: &mut AgentState,
    now: Millis,
    from: &Peer,
    message: Message,
    out: &mut Vec<Effect>,
) {
    match message {
        Message::LeaseAsk(ask) => grant::asked(state, now, from, &ask, out),
        Message::LeaseGrant { holder, .. } if holder != state.incarnation => {}
        Message::LeaseGrant {
            holder: _,
            epoch,
            round,
            ready,
            failed,
            leaving,
            bundle,
        } => {
            let hold = Hold {
                until: 0,
                ready,
                failed,
                leaving,
            };
            lead::granted(state, now, &from.id, epoch, round, hold);
            pass_brief(state, &from.id, bundle, out);
        }
        Message::LeaseDeny { epoch, seen } => lead::denied(state, &from.id, epoch, seen, out),
        Message::LeaseReturn { group, epoch } => {
            grant::returned(state, from, &group, epoch, out);
        }
        Message::Brief(brief) => adopt(state, brief, out),
        _ => unexpected(&from.id, out),
    }
}

/// Gives a member the newer bundle.
fn pass_brief(state: &AgentState, to: &InstanceId, bundle: u64, out: &mut Vec<Effect>) {
    if bundle < state.brief.number {
        out.push(Effect::Send {
            to: to.clone(),
            message: Message::Brief(state.brief.clone()),
        });
    }
}

/// Takes a bundle up if it is newer; an older one never comes back.
fn adopt(state: &mut AgentState, brief: Brief, out: &mut Vec<Effect>) {
    if brief.number <= state.brief.number {
        return;
    }
    let note = Note::new(NoteCode::BundleInForce).with("bundle", brief.number);
    out.push(Effect::Note(note));
    state.brief = brief;
}

fn unexpected(from: &InstanceId, out: &mut Vec<Effect>) {
    out.push(Effect::Note(
        Note::new(NoteCode::UnexpectedMessage).with("from", from),
    ));
}

fn endpoint(state: &mut AgentState, now: Millis, event: EndpointEvent, out: &mut Vec<Effect>) {
    match event {
        EndpointEvent::Loaded { epoch, ok } => {
            load::ended(state, now, epoch, ok, out);
            // Report the end of the load to the own group at once.
            if let Some(lead) = &mut state.lead {
                lead.next_ask = now;
            }
        }
        EndpointEvent::Piece { run, text } => runs::piece(state, &run, text, out),
        EndpointEvent::Ended { run, result } => runs::ended(state, now, &run, result, out),
        EndpointEvent::Status { slots } => state.knobs.slots = slots.max(1),
    }
}
