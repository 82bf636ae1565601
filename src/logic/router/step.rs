use super::{
    accept, agents, claim_batch, claiming, fleet, head, operator, peers, planner, recalling,
};
use super::{roll, sending, CallId, ListReply, Purpose, RouterState, StoreReply, StoreResult};
use crate::logic::{Effect, Event, Note, NoteCode, Peer, PeerRole};
use crate::message::Message;
use crate::types::Millis;

/// Applies one event to a router.
pub(crate) fn step(state: &mut RouterState, now: Millis, event: Event, out: &mut Vec<Effect>) {
    match event {
        Event::Tick => {}
        Event::Stop => state.stopping = true,
        Event::Up(peer) => match peer.role {
            PeerRole::Router => peers::session(state, now, &peer.id, true),
            PeerRole::Agent => agents::up(state, now, &peer, out),
        },
        Event::Down(id) => {
            peers::session(state, now, &id, false);
            agents::down(state, now, &id, out);
        }
        Event::Message { from, message } => message_in(state, now, &from, message, out),
        Event::Store { call, result } => store(state, now, call, result, out),
        Event::Watch(changes) => fleet::changed(state, now, changes, out),
        Event::WatchLost => fleet::read(state, out),
        Event::List(list) => list_in(state, now, list, out),
        Event::Request(call) => accept::arrived(state, now, *call, out),
        Event::Gone(id) => sending::caller_gone(state, id, out),
        Event::Operator { job, call } => operator::asked(state, now, job, call, out),
        Event::Endpoint(_) | Event::Direct(_) => {}
    }
    tend(state, now, out);
}

/// What is done after every event: time may have passed since the last one.
fn tend(state: &mut RouterState, now: Millis, out: &mut Vec<Effect>) {
    if !state.fleet.read {
        fleet_again(state, now, out);
    }
    head::tend(state, now, out);
    peers::tend(state, now, out);
    roll::tend(state, now, out);
    planner::on_tick(state, now, out);
    recalling::tend(state, now, out);
    sending::tend(state, now, out);
    agents::tend(state, now, out);
    claim_batch::tend(state, now, out);
    if now >= state.list_at {
        state.list_at = now + state.knobs.list_ms;
        out.push(Effect::FetchList);
    }
    if state.stopping && state.requests.is_empty() && state.roll.is_none() {
        out.push(Effect::Exit);
    }
}

/// Reads the fleet at the pace of the proofs until that has succeeded.
fn fleet_again(state: &mut RouterState, now: Millis, out: &mut Vec<Effect>) {
    if now >= state.head.prove_at {
        fleet::read(state, out);
    }
}

fn message_in(
    state: &mut RouterState,
    now: Millis,
    from: &Peer,
    message: Message,
    out: &mut Vec<Effect>,
) {
    match (from.role, message) {
        (PeerRole::Agent, Message::Report(report)) => {
            agents::reported(state, now, &from.id, *report, out);
        }
        (PeerRole::Agent, Message::Load(load)) => agents::loaded(state, &from.id, load),
        (PeerRole::Agent, Message::Piece { run, offset, text }) => {
            sending::piece(state, now, run, offset, text, out);
        }
        (PeerRole::Agent, Message::End { run, end }) => {
            sending::ended(state, now, &from.id, run, end, out)
        }
        (PeerRole::Agent, Message::Recalled { run, recall }) => {
            recalling::recalled(state, now, run, recall, out);
        }
        (PeerRole::Router, Message::HeadAsk { asked_at, number }) => {
            peers::asked(state, now, from, asked_at, number, out);
        }
        (PeerRole::Router, Message::HeadReply(reply)) => {
            peers::replied(state, now, from, reply, out);
        }
        (PeerRole::Router, Message::ClaimAsk(writes)) => {
            claim_batch::add_guests(state, now, &from.id, writes);
        }
        (PeerRole::Router, Message::ClaimReply(answers)) => {
            claiming::replied(state, now, answers, out);
        }
        _ => {
            let note = Note::new(NoteCode::UnexpectedMessage).with("from", &from.id);
            out.push(Effect::Note(note));
        }
    }
}

fn store(
    state: &mut RouterState,
    now: Millis,
    call: CallId,
    result: StoreResult,
    out: &mut Vec<Effect>,
) {
    note_store(state, result.is_ok(), out);
    let Some(purpose) = state.calls.remove(&call) else {
        return;
    };
    match purpose {
        Purpose::ReadFleet => {
            if let Ok(StoreReply::Entries { revision, entries }) = result {
                fleet::was_read(state, now, revision, entries, out);
            }
        }
        Purpose::ProveHead(asked_at) => {
            if let Ok(StoreReply::Entries { entries, .. }) = result {
                head::answered(state, now, asked_at, &entries, out);
            }
        }
        Purpose::Submit { job, number } => operator::submitted(state, job, number, result, out),
        Purpose::Approve { job, number, by } => {
            operator::approved(state, job, number, by, result, out);
        }
        Purpose::Roll => roll::written(state, now, result, out),
        Purpose::Claims(claims) => claiming::written(state, now, claims, result, out),
        Purpose::ClaimLease(asked_at) => {
            if let Ok(StoreReply::Lease { lease, .. }) = result {
                state.claims.lease = Some(lease);
                state.claims.leased_at = asked_at;
            }
        }
        planner_call => planner::on_store_reply(state, now, planner_call, result, out),
    }
}

fn note_store(state: &mut RouterState, up: bool, out: &mut Vec<Effect>) {
    if state.store_up == up {
        return;
    }
    state.store_up = up;
    let code = if up {
        NoteCode::StoreUp
    } else {
        NoteCode::StoreDown
    };
    out.push(Effect::Note(Note::new(code)));
}

fn list_in(state: &mut RouterState, now: Millis, list: ListReply, out: &mut Vec<Effect>) {
    let ListReply::Instances(instances) = list else {
        return;
    };
    state.list_known = true;
    state.instances = instances.into_iter().map(|i| (i.id.clone(), i)).collect();
    agents::look_soon(state, now);
    peers::from_list(state, out);
    let leaving: Vec<_> = state
        .instances
        .values()
        .filter(|i| !i.is_live())
        .map(|i| i.id.clone())
        .collect();
    for id in leaving {
        agents::tell_leaving(state, &id, out);
    }
}
