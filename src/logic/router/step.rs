use super::{
    admission, agents, claim_batch, claim_query, claims, fleet, head, operator, peers, planner,
};
use super::{attempts, roll, CallId, CallPurpose, ListReply, RouterState, StoreReply, StoreResult};
use crate::logic::{Effect, Event, LogCode, LogEvent, Peer, PeerRole};
use crate::message::Message;
use crate::types::{Approval, Millis};

/// Applies one event to a router.
pub(crate) fn step(state: &mut RouterState, now: Millis, event: Event, out: &mut Vec<Effect>) {
    match event {
        Event::Tick => {}
        Event::Stop => state.stopping = true,
        Event::SessionOpened(peer) => match peer.role {
            PeerRole::Router => peers::on_session(state, now, &peer.id, true),
            PeerRole::Agent => agents::on_agent_up(state, now, &peer, out),
        },
        Event::SessionClosed(id) => {
            peers::on_session(state, now, &id, false);
            agents::on_agent_down(state, now, &id, out);
        }
        Event::Message { from, message } => on_message(state, now, &from, message, out),
        Event::Store { call, result } => on_store_reply(state, now, call, result, out),
        Event::Watch(changes) => fleet::on_changes(state, now, changes, out),
        Event::WatchInterrupted => fleet::start_read(state, out),
        Event::Instances(list) => on_list(state, now, list, out),
        Event::Request(call) => admission::on_request(state, now, *call, out),
        Event::CallerGone(id) => attempts::on_caller_gone(state, id, out),
        Event::Operator { job, call } => operator::on_call(state, now, job, call, out),
        Event::Endpoint(_) | Event::Direct(_) => {}
    }
    on_tick(state, now, out);
}

/// Does the periodic work; called after every event, since time may have passed.
fn on_tick(state: &mut RouterState, now: Millis, out: &mut Vec<Effect>) {
    if !state.fleet.is_read {
        retry_fleet_read(state, now, out);
    }
    head::on_tick(state, now, out);
    peers::on_tick(state, now, out);
    roll::on_tick(state, now, out);
    planner::on_tick(state, now, out);
    claim_query::on_tick(state, now, out);
    attempts::on_tick(state, now, out);
    agents::on_tick(state, now, out);
    claim_batch::on_tick(state, now, out);
    if now >= state.list_at {
        state.list_at = now + state.params.list_ms;
        out.push(Effect::FetchInstances);
    }
    if state.stopping && state.requests.is_empty() && state.roll.is_none() {
        out.push(Effect::Exit);
    }
}

/// Reads the fleet again when the next read of the head is due.
fn retry_fleet_read(state: &mut RouterState, now: Millis, out: &mut Vec<Effect>) {
    if now >= state.head.read_at {
        fleet::start_read(state, out);
    }
}

/// Handles a message from an agent or another router.
fn on_message(
    state: &mut RouterState,
    now: Millis,
    from: &Peer,
    message: Message,
    out: &mut Vec<Effect>,
) {
    match (from.role, message) {
        (PeerRole::Agent, Message::Report(report)) => {
            agents::on_report(state, now, &from.id, *report, out);
        }
        (PeerRole::Agent, Message::Load(load)) => agents::on_load_report(state, &from.id, load),
        (PeerRole::Agent, Message::Piece { run, offset, text }) => {
            attempts::on_piece(state, now, run, offset, text, out);
        }
        (PeerRole::Agent, Message::End { run, end }) => {
            attempts::on_attempt_end(state, now, &from.id, run, end, out)
        }
        (PeerRole::Agent, Message::Recalled { run, recall }) => {
            claim_query::on_query_reply(state, now, run, recall, out);
        }
        (PeerRole::Router, Message::HeadAsk { asked_at, number }) => {
            peers::on_head_ask(state, now, from, asked_at, number, out);
        }
        (PeerRole::Router, Message::HeadReply(reply)) => {
            peers::on_head_reply(state, now, from, reply, out);
        }
        (PeerRole::Router, Message::ClaimAsk(writes)) => {
            claim_batch::add_forwarded(state, now, &from.id, writes);
        }
        (PeerRole::Router, Message::ClaimReply(answers)) => {
            claims::on_claim_reply(state, now, answers, out);
        }
        _ => {
            let event = LogEvent::new(LogCode::UnexpectedMessage).with("from", &from.id);
            out.push(Effect::Log(event));
        }
    }
}

/// Handles the result of a call to the key-value service.
fn on_store_reply(
    state: &mut RouterState,
    now: Millis,
    call: CallId,
    result: StoreResult,
    out: &mut Vec<Effect>,
) {
    set_store_up(state, result.is_ok(), out);
    let Some(purpose) = state.calls.remove(&call) else {
        return;
    };
    match purpose {
        CallPurpose::ReadFleet => {
            if let Ok(StoreReply::Entries { revision, entries }) = result {
                fleet::on_read(state, now, revision, entries, out);
            }
        }
        CallPurpose::ProveHead(asked_at) => {
            if let Ok(StoreReply::Entries { entries, .. }) = result {
                head::on_head_read(state, now, asked_at, &entries, out);
            }
        }
        CallPurpose::Submit { job, bundle } => {
            operator::on_submit_result(state, job, bundle, result, out)
        }
        CallPurpose::Approve { job, number, by } => {
            operator::on_approve_result(state, now, job, Approval { number, by }, result, out);
        }
        CallPurpose::Roll => roll::on_written(state, now, result, out),
        CallPurpose::Claims(claims) => claims::on_batch_written(state, now, claims, result, out),
        CallPurpose::ClaimLease(asked_at) => {
            if let Ok(StoreReply::Lease { lease, .. }) = result {
                state.claims.lease = Some(lease);
                state.claims.leased_at = asked_at;
            }
        }
        planner_call => planner::on_store_reply(state, now, planner_call, result, out),
    }
}

/// Records whether the key-value service answers, and logs a change.
fn set_store_up(state: &mut RouterState, up: bool, out: &mut Vec<Effect>) {
    if state.store_up == up {
        return;
    }
    state.store_up = up;
    let code = if up {
        LogCode::StoreUp
    } else {
        LogCode::StoreDown
    };
    out.push(Effect::Log(LogEvent::new(code)));
}

/// Handles a fetched instance list.
fn on_list(state: &mut RouterState, now: Millis, list: ListReply, out: &mut Vec<Effect>) {
    let ListReply::Instances(instances) = list else {
        return;
    };
    state.has_list = true;
    state.instances = instances.into_iter().map(|i| (i.id.clone(), i)).collect();
    agents::schedule_dial(state, now);
    peers::on_list(state, out);
    let leaving: Vec<_> = state
        .instances
        .values()
        .filter(|i| !i.is_live())
        .map(|i| i.id.clone())
        .collect();
    for id in leaving {
        agents::notify_leaving(state, &id, out);
    }
}
