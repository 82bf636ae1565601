//! Queries to the agent named in a claim about what became of the request.

use std::net::SocketAddr;

use super::{agents, attempts, claim_batch, finish, Problem, RouterState, Stage};
use crate::logic::{Effect, LogCode, LogEvent, Peer};
use crate::message::{Message, Once, Recall, RunId};
use crate::types::{InstanceId, Millis, RequestId};

/// Time between two queries about the same request.
const QUERY_INTERVAL_MS: Millis = 500;

/// Starts to query the agent named in a claim, which another request may have written.
pub(super) fn begin(
    state: &mut RouterState,
    now: Millis,
    id: RequestId,
    agent: &InstanceId,
    addr: SocketAddr,
    out: &mut Vec<Effect>,
) {
    let Some(request) = state.requests.get_mut(&id) else {
        return;
    };
    request.stage = Stage::Querying {
        agent: agent.clone(),
        addr,
        ask_at: now,
        bar: false,
    };
    agents::schedule_dial(state, now);
    send_query(state, now, id, out);
}

/// Starts to query an agent about an attempt that this router has sent to it.
pub(super) fn begin_for_attempt(
    state: &mut RouterState,
    now: Millis,
    id: RequestId,
    agent: &InstanceId,
    out: &mut Vec<Effect>,
) {
    let Some(addr) = state.agents.get(agent).map(|a| a.addr) else {
        return;
    };
    begin(state, now, id, agent, addr, out);
}

/// Sends the queries that are due.
pub(super) fn on_tick(state: &mut RouterState, now: Millis, out: &mut Vec<Effect>) {
    let due: Vec<_> = state
        .requests
        .values()
        .filter(|r| matches!(r.stage, Stage::Querying { ask_at, .. } if now >= ask_at))
        .map(|r| r.id)
        .collect();
    for id in due {
        send_query(state, now, id, out);
    }
}

/// Queries an agent at once when a session with it has opened.
pub(super) fn on_agent_up(
    state: &mut RouterState,
    now: Millis,
    peer: &Peer,
    out: &mut Vec<Effect>,
) {
    let due: Vec<_> = state
        .requests
        .values()
        .filter(|r| matches!(&r.stage, Stage::Querying { agent, .. } if agent == &peer.id))
        .map(|r| r.id)
        .collect();
    for id in due {
        send_query(state, now, id, out);
    }
}

/// Queries the agent, if there is a session with it.
///
/// The request ends with outcome `unknown` if the agent has restarted since the claim was written
/// or if too many attempts and queries were made.
fn send_query(state: &mut RouterState, now: Millis, id: RequestId, out: &mut Vec<Effect>) {
    let keep_ms = claim_batch::retention_ms(state);
    let limit = state.params.claim_tries;
    let hint = state.params.hint_ms;
    let Some(request) = state.requests.get_mut(&id) else {
        return;
    };
    let Stage::Querying {
        agent, ask_at, bar, ..
    } = &mut request.stage
    else {
        return;
    };
    *ask_at = now + QUERY_INTERVAL_MS;
    let bar = *bar;
    let agent = agent.clone();
    let Some(claim) = request.claim else {
        return;
    };
    let Some(up) = state.agents.get(&agent).and_then(|a| a.up) else {
        return;
    };
    if state.rules.incarnation_check && up != claim.incarnation {
        let detail = "its agent has restarted; the request may have run and is not run again";
        return finish::end_with_problem(state, now, id, Problem::unknown(409, detail), out);
    }
    if request.attempt >= limit {
        let detail = "other routers are trying the same Idempotency-Key; try again with it";
        let problem = Problem::unknown(409, detail).with_retry(hint);
        return finish::give_up(state, now, id, problem, out);
    }
    request.attempt += 1;
    out.push(Effect::Send {
        to: agent,
        message: Message::Query {
            run: request.run_id(),
            once: Once {
                key: claim.key,
                attempt: claim.attempt,
                keep_ms,
            },
            incarnation: claim.incarnation,
            bar,
        },
    });
}

/// Handles an agent's reply to a query.
pub(super) fn on_query_reply(
    state: &mut RouterState,
    now: Millis,
    run: RunId,
    recall: Recall,
    out: &mut Vec<Effect>,
) {
    let id = run.request;
    let Some(request) = state.requests.get_mut(&id) else {
        return;
    };
    let Stage::Querying { agent, .. } = request.stage.clone() else {
        return;
    };
    if request.run_id() != run {
        return;
    }
    match recall {
        Recall::NotSeen => {
            if let Stage::Querying { ask_at, bar, .. } = &mut request.stage {
                // The router that wrote the claim may still be about to send the attempt: it gets
                // `recall_ms` before the next query bars it.
                *ask_at = now + state.params.recall_ms;
                *bar = true;
            }
        }
        Recall::NotRun => {
            let event = LogEvent::new(LogCode::ClaimRebound).with("request", id);
            out.push(Effect::Log(event));
            request.stage = Stage::Delayed(now);
            attempts::dispatch(state, now, id, out);
        }
        Recall::Running { pieces, text } => {
            request.stage = Stage::Sent { agent, group: None };
            deliver_missing(state, now, id, pieces, &text, out);
        }
        Recall::Done {
            status,
            pieces,
            text,
        } => {
            deliver_missing(state, now, id, pieces, &text, out);
            finish::complete(state, now, id, status, out);
        }
        Recall::Lost => {
            let detail = "the request may have run and its answer is lost; it is not run again";
            finish::end_with_problem(state, now, id, Problem::unknown(409, detail), out);
        }
    }
}

/// Passes on the part of the answer that the caller doesn't have yet.
fn deliver_missing(
    state: &mut RouterState,
    now: Millis,
    id: RequestId,
    pieces: u64,
    text: &str,
    out: &mut Vec<Effect>,
) {
    let Some(request) = state.requests.get_mut(&id) else {
        return;
    };
    let Some(rest) = text.get(request.delivered_text.len()..) else {
        return;
    };
    if pieces > request.delivered {
        let more = pieces - request.delivered;
        attempts::deliver(request, now, more, rest.to_string(), out);
    }
}
