use super::{
    admission, claims, grant, lead, leave, load, report, runs, scheduler, AgentState, MemberLease,
};
use crate::logic::{Effect, EndpointEvent, Event, LogCode, LogEvent, Peer, PeerRole};
use crate::message::Message;
use crate::types::{Brief, InstanceId, Millis};

/// Applies one event to an agent.
pub(crate) fn step(state: &mut AgentState, now: Millis, event: Event, out: &mut Vec<Effect>) {
    match event {
        Event::Stop => {
            state.stopping = true;
            leave::begin(state, now, out);
        }
        Event::SessionOpened(peer) => on_peer_up(state, now, &peer, out),
        Event::SessionClosed(id) => on_peer_down(state, &id, out),
        Event::Message { from, message } => on_message(state, now, &from, message, out),
        Event::Endpoint(event) => on_endpoint_event(state, now, event, out),
        // A tick needs only what follows; the other events are for routers.
        _ => {}
    }
    on_tick(state, now, out);
}

/// Does what is due; called after every event, as time may have passed since the last one.
fn on_tick(state: &mut AgentState, now: Millis, out: &mut Vec<Effect>) {
    grant::expire(state, now, out);
    state.memory.expire(now);
    runs::refuse_expired(state, now, out);
    lead::on_tick(state, now, out);
    scheduler::start_waiting(state, now, out);
    report::send_changes(state, now, out);
    leave::exit_when_done(state, out);
}

fn on_peer_up(state: &mut AgentState, now: Millis, peer: &Peer, out: &mut Vec<Effect>) {
    match peer.role {
        PeerRole::Router => {
            state.routers.insert(peer.id.clone(), None);
            report::send_current(state, now, &peer.id, out);
        }
        PeerRole::Agent => {
            // A member may be reachable again: its lease is requested at once instead of at the
            // next round.
            if let Some(lead) = &mut state.lead {
                lead.next_round = now;
            }
        }
    }
}

fn on_peer_down(state: &mut AgentState, id: &InstanceId, out: &mut Vec<Effect>) {
    if state.routers.remove(id).is_some() {
        runs::on_router_down(state, id, out);
    }
}

fn on_message(
    state: &mut AgentState,
    now: Millis,
    from: &Peer,
    message: Message,
    out: &mut Vec<Effect>,
) {
    match from.role {
        PeerRole::Router => on_router_message(state, now, &from.id, message, out),
        PeerRole::Agent => on_agent_message(state, now, from, message, out),
    }
}

fn on_router_message(
    state: &mut AgentState,
    now: Millis,
    from: &InstanceId,
    message: Message,
    out: &mut Vec<Effect>,
) {
    match message {
        Message::Assign(record) => lead::on_assign(state, now, *record, out),
        Message::Release { group, epoch } => lead::on_release(state, &group, epoch, out),
        Message::Leave => leave::begin(state, now, out),
        Message::Brief(brief) => on_brief(state, brief, out),
        Message::Run(order) => admission::on_run_order(state, now, from, *order, out),
        Message::Cancel(run) => runs::on_cancel(state, from, &run, out),
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
            claims::on_query(state, now, from, &query, out);
        }
        _ => log_unexpected(from, out),
    }
}

fn on_agent_message(
    state: &mut AgentState,
    now: Millis,
    from: &Peer,
    message: Message,
    out: &mut Vec<Effect>,
) {
    match message {
        Message::LeaseAsk(ask) => grant::on_lease_request(state, now, from, &ask, out),
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
            let lease = MemberLease {
                until: 0,
                ready,
                failed,
                leaving,
            };
            lead::on_lease_granted(state, now, &from.id, epoch, round, lease);
            send_newer_brief(state, &from.id, bundle, out);
        }
        Message::LeaseDeny { epoch, seen } => {
            lead::on_lease_denied(state, &from.id, epoch, seen, out)
        }
        Message::LeaseReturn { group, epoch } => {
            grant::on_lease_returned(state, from, &group, epoch, out);
        }
        Message::Brief(brief) => on_brief(state, brief, out),
        _ => log_unexpected(&from.id, out),
    }
}

/// Sends a member the newer bundle, when its own is older.
fn send_newer_brief(state: &AgentState, to: &InstanceId, bundle: u64, out: &mut Vec<Effect>) {
    if bundle < state.brief.number {
        out.push(Effect::Send {
            to: to.clone(),
            message: Message::Brief(state.brief.clone()),
        });
    }
}

/// Puts a bundle in force if it is newer; an older one is ignored.
fn on_brief(state: &mut AgentState, brief: Brief, out: &mut Vec<Effect>) {
    if brief.number <= state.brief.number {
        return;
    }
    let event = LogEvent::new(LogCode::BundleInForce).with("bundle", brief.number);
    out.push(Effect::Log(event));
    state.brief = brief;
}

fn log_unexpected(from: &InstanceId, out: &mut Vec<Effect>) {
    out.push(Effect::Log(
        LogEvent::new(LogCode::UnexpectedMessage).with("from", from),
    ));
}

fn on_endpoint_event(
    state: &mut AgentState,
    now: Millis,
    event: EndpointEvent,
    out: &mut Vec<Effect>,
) {
    match event {
        EndpointEvent::Loaded { epoch, ok } => {
            load::on_load_end(state, now, epoch, ok, out);
            // Starts a round at once, so that the leader counts its own endpoint as loaded.
            if let Some(lead) = &mut state.lead {
                lead.next_round = now;
            }
        }
        EndpointEvent::Piece { run, text } => runs::on_piece(state, &run, text, out),
        EndpointEvent::Ended { run, result } => runs::on_end(state, now, &run, result, out),
        EndpointEvent::Status { slots } => state.params.slots = slots.max(1),
    }
}
