//! Claims of requests that may not be repeated: writing, settling and releasing them.

use std::collections::BTreeMap;

use super::{attempts, claim_batch, claim_query, finish, Keys, Problem, RouterState, Stage};
use super::{QueuedClaim, StoreReply, StoreResult};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::message::{ClaimRecord, ClaimVerdict, ClaimWrite, Message};
use crate::types::{GroupId, InstanceId, Millis, RequestId};

/// Writes a claim that binds the request to the leader of a group; the request is sent afterwards.
pub(super) fn begin(
    state: &mut RouterState,
    now: Millis,
    id: RequestId,
    agent: InstanceId,
    group: GroupId,
    out: &mut Vec<Effect>,
) {
    if !state.store_up {
        let hint = state.params.hint_ms;
        let detail = "the key-value service is down, so the request can't be claimed";
        return finish::give_up(
            state,
            now,
            id,
            Problem::not_run(503, detail).with_retry(hint),
            out,
        );
    }
    let view = state.agents.get(&agent);
    let reached = view.and_then(|v| v.up.map(|incarnation| (v.addr, incarnation)));
    let Some((addr, incarnation)) = reached else {
        return attempts::park(state, now, id, out);
    };
    let Some(request) = state.requests.get_mut(&id) else {
        return;
    };
    let Some(claim) = &mut request.claim else {
        return;
    };
    request.stage = Stage::Claiming {
        agent: agent.clone(),
        group,
    };
    // The claim may exist from here on, even if the reply to the write is lost.
    claim.is_own = true;
    let write = ClaimWrite {
        request: id,
        key: claim.key,
        revision: claim.revision,
        record: ClaimRecord {
            attempt: claim.attempt + 1,
            agent,
            addr,
            incarnation,
            content: claim.content,
            by: id,
            released: false,
        },
    };
    claim_batch::add(state, now, write, out);
}

/// Marks the claim as released before the caller is answered `not_run`.
pub(super) fn release(state: &mut RouterState, now: Millis, id: RequestId, out: &mut Vec<Effect>) {
    let me = state.own_id.clone();
    let addr = state.addr;
    let Some(request) = state.requests.get(&id) else {
        return;
    };
    let Some(claim) = &request.claim else {
        return;
    };
    let write = ClaimWrite {
        request: id,
        key: claim.key,
        revision: claim.revision,
        record: ClaimRecord {
            attempt: claim.attempt.max(1),
            agent: me,
            addr,
            incarnation: claim.incarnation,
            content: claim.content,
            by: id,
            released: true,
        },
    };
    claim_batch::add(state, now, write, out);
}

/// Handles the result of a batch write: settles the claims of this router and
/// replies about forwarded ones.
pub(super) fn on_batch_written(
    state: &mut RouterState,
    now: Millis,
    claims: Vec<QueuedClaim>,
    result: StoreResult,
    out: &mut Vec<Effect>,
) {
    let mut answers: BTreeMap<InstanceId, Vec<(ClaimWrite, ClaimVerdict)>> = BTreeMap::new();
    for claim in claims {
        let verdict = verdict_of(&claim.write, &result);
        match claim.forwarded_by {
            Some(router) => answers
                .entry(router)
                .or_default()
                .push((claim.write, verdict)),
            None => on_verdict(state, now, claim.write, verdict, out),
        }
    }
    for (to, answers) in answers {
        let message = Message::ClaimReply(answers);
        out.push(Effect::Send { to, message });
    }
}

/// Handles another router's reply about claims that were forwarded to it.
pub(super) fn on_claim_reply(
    state: &mut RouterState,
    now: Millis,
    answers: Vec<(ClaimWrite, ClaimVerdict)>,
    out: &mut Vec<Effect>,
) {
    for (write, verdict) in answers {
        // A claim that has timed out and was queued here is settled by the write of this router.
        if claim_batch::remove_forwarded(state, &write) {
            on_verdict(state, now, write, verdict, out);
        }
    }
}

/// What the result of a batch write says about one claim.
fn verdict_of(write: &ClaimWrite, result: &StoreResult) -> ClaimVerdict {
    match result {
        Ok(StoreReply::Transaction {
            done: true,
            revision,
            ..
        }) => ClaimVerdict::Taken(*revision),
        Ok(StoreReply::Transaction { entries, .. }) => {
            let key = Keys::claim(&write.key);
            let entry = entries.iter().find(|e| e.key == key);
            ClaimVerdict::Stands {
                revision: entry.map_or(0, |e| e.revision),
                record: entry.and_then(|e| serde_json::from_str(&e.value).ok()),
            }
        }
        // The write may have taken effect; in that case the next write finds this request's record.
        _ => ClaimVerdict::Unknown,
    }
}

/// Handles the verdict on a claim of this router, unless its request waits for it no longer.
fn on_verdict(
    state: &mut RouterState,
    now: Millis,
    write: ClaimWrite,
    verdict: ClaimVerdict,
    out: &mut Vec<Effect>,
) {
    if !is_waiting_for(state, &write) {
        return;
    }
    match verdict {
        ClaimVerdict::Taken(revision) => on_claim_taken(state, now, &write, revision, out),
        ClaimVerdict::Unknown => claim_batch::add(state, now, write, out),
        ClaimVerdict::Stands { revision, .. } if revision == write.revision => {
            claim_batch::add(state, now, write, out);
        }
        ClaimVerdict::Stands {
            revision,
            record: Some(record),
        } => {
            if record == write.record {
                on_claim_taken(state, now, &write, revision, out);
            } else {
                on_claim_found(state, now, &write, &record, revision, out);
            }
        }
        // The claim has expired while this request waited: it is written as a new one.
        ClaimVerdict::Stands {
            revision,
            record: None,
        } => claim_batch::add(state, now, ClaimWrite { revision, ..write }, out),
    }
}

/// Whether the request still waits for exactly this write.
fn is_waiting_for(state: &RouterState, write: &ClaimWrite) -> bool {
    let Some(request) = state.requests.get(&write.request) else {
        return false;
    };
    let attempt = request.claim.as_ref().map_or(0, |o| o.attempt);
    match &request.stage {
        Stage::Claiming { agent, .. } => {
            let same = agent == &write.record.agent && attempt + 1 == write.record.attempt;
            same && !write.record.released
        }
        Stage::Releasing(_) => write.record.released,
        _ => false,
    }
}

/// Handles a claim that stands as this request wrote it.
fn on_claim_taken(
    state: &mut RouterState,
    now: Millis,
    write: &ClaimWrite,
    revision: i64,
    out: &mut Vec<Effect>,
) {
    let Some(request) = state.requests.get_mut(&write.request) else {
        return;
    };
    let Some(claim) = &mut request.claim else {
        return;
    };
    claim.attempt = write.record.attempt;
    claim.incarnation = write.record.incarnation;
    claim.revision = revision;
    let event = LogEvent::new(LogCode::ClaimTaken)
        .with("request", write.request)
        .with("claim", write.key)
        .with("attempt", write.record.attempt)
        .with("agent", &write.record.agent);
    out.push(Effect::Log(event));
    match request.stage.clone() {
        Stage::Releasing(problem) => {
            finish::end_with_problem(state, now, write.request, *problem, out)
        }
        Stage::Claiming { agent, group } => {
            send_claimed(state, now, write, &agent, &group, out);
        }
        _ => {}
    }
}

/// Sends a claimed request if its agent still has the incarnation in the claim.
fn send_claimed(
    state: &mut RouterState,
    now: Millis,
    write: &ClaimWrite,
    agent: &InstanceId,
    group: &GroupId,
    out: &mut Vec<Effect>,
) {
    let up = state.agents.get(agent).and_then(|a| a.up);
    if up == Some(write.record.incarnation) {
        attempts::send(state, now, write.request, agent, group, out);
    } else {
        // Nothing was sent under this attempt, so the claim may be bound to another agent.
        attempts::park(state, now, write.request, out);
    }
}

/// Handles a claim that another request wrote.
fn on_claim_found(
    state: &mut RouterState,
    now: Millis,
    write: &ClaimWrite,
    record: &ClaimRecord,
    revision: i64,
    out: &mut Vec<Effect>,
) {
    let event = LogEvent::new(LogCode::ClaimFound)
        .with("request", write.request)
        .with("claim", write.key)
        .with("attempt", record.attempt)
        .with("agent", &record.agent);
    out.push(Effect::Log(event));
    let Some(request) = state.requests.get_mut(&write.request) else {
        return;
    };
    let Some(claim) = &mut request.claim else {
        return;
    };
    claim.is_own = false;
    if record.content != claim.content {
        let detail = "this Idempotency-Key was used for another request";
        let problem = Problem::not_run(422, detail);
        return finish::end_with_problem(state, now, write.request, problem, out);
    }
    // A request that has seen the claim before was in flight when the claim was released: its
    // caller may have been answered `not_run` by another router, so it must not run here either.
    let seen_before = claim.revision != 0;
    claim.attempt = record.attempt;
    claim.incarnation = record.incarnation;
    claim.revision = revision;
    if record.released && seen_before {
        let detail = "a request with the same Idempotency-Key was given up";
        let problem = Problem::not_run(503, detail).with_retry(state.params.hint_ms);
        return finish::end_with_problem(state, now, write.request, problem, out);
    }
    if record.released {
        request.stage = Stage::Delayed(now);
        return attempts::dispatch(state, now, write.request, out);
    }
    claim_query::begin(state, now, write.request, &record.agent, record.addr, out);
}
