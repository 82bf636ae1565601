//! Claims of requests that may not be repeated: taken, found, given back.

use super::claim_batch::{self, ClaimWrite};
use super::{finish, recalling, sending, ClaimRecord, Keys, Problem, RouterState, Stage};
use super::{StoreEntry, StoreReply, StoreResult};
use crate::logic::{Effect, Note, NoteCode};
use crate::types::{GroupId, InstanceId, Millis, RequestId};

/// Claims the request for the leader of a group; nothing is sent before.
pub(super) fn begin(
    state: &mut RouterState,
    now: Millis,
    id: RequestId,
    agent: InstanceId,
    group: GroupId,
    out: &mut Vec<Effect>,
) {
    if !state.store_up {
        let hint = state.knobs.hint_ms;
        let detail = "the key-value service is down, so it can't be claimed";
        return finish::give_up(
            state,
            now,
            id,
            Problem::not_run(503, detail).retry_in(hint),
            out,
        );
    }
    let view = state.agents.get(&agent);
    let reached = view.and_then(|v| v.up.map(|incarnation| (v.addr, incarnation)));
    let Some((addr, incarnation)) = reached else {
        return sending::park(state, now, id, out);
    };
    let Some(request) = state.requests.get_mut(&id) else {
        return;
    };
    let Some(once) = &mut request.once else {
        return;
    };
    request.stage = Stage::Claiming {
        agent: agent.clone(),
        group,
    };
    // From here on the claim may stand, whatever answer comes.
    once.mine = true;
    let write = ClaimWrite {
        request: id,
        key: once.key,
        revision: once.revision,
        record: ClaimRecord {
            attempt: once.attempt + 1,
            agent,
            addr,
            incarnation,
            content: once.content,
            by: id,
            released: false,
        },
    };
    claim_batch::add(state, now, write);
}

/// Gives a claim back before "not run" is said.
pub(super) fn release(state: &mut RouterState, now: Millis, id: RequestId) {
    let me = state.me.clone();
    let addr = state.addr;
    let Some(request) = state.requests.get(&id) else {
        return;
    };
    let Some(once) = &request.once else {
        return;
    };
    let write = ClaimWrite {
        request: id,
        key: once.key,
        revision: once.revision,
        record: ClaimRecord {
            attempt: once.attempt.max(1),
            agent: me,
            addr,
            incarnation: once.incarnation,
            content: once.content,
            by: id,
            released: true,
        },
    };
    claim_batch::add(state, now, write);
}

/// A write of claims has ended.
pub(super) fn written(
    state: &mut RouterState,
    now: Millis,
    writes: Vec<ClaimWrite>,
    result: StoreResult,
    out: &mut Vec<Effect>,
) {
    match result {
        Ok(StoreReply::Swapped {
            done: true,
            revision,
            ..
        }) => {
            for write in writes {
                taken(state, now, &write, revision, out);
            }
        }
        Ok(StoreReply::Swapped { entries, .. }) => {
            for write in writes {
                compare(state, now, write, &entries, out);
            }
        }
        // The write may have taken effect: the next one finds its own record.
        _ => writes.into_iter().for_each(|w| retry(state, now, w)),
    }
}

fn retry(state: &mut RouterState, now: Millis, write: ClaimWrite) {
    if waits_for(state, &write) {
        claim_batch::add(state, now, write);
    }
}

fn waits_for(state: &RouterState, write: &ClaimWrite) -> bool {
    let stage = state.requests.get(&write.request).map(|r| &r.stage);
    match stage {
        Some(Stage::Claiming { .. }) => !write.record.released,
        Some(Stage::Releasing(_)) => write.record.released,
        _ => false,
    }
}

fn compare(
    state: &mut RouterState,
    now: Millis,
    write: ClaimWrite,
    entries: &[StoreEntry],
    out: &mut Vec<Effect>,
) {
    let key = Keys::claim(&write.key);
    let entry = entries.iter().find(|e| e.key == key);
    let revision = entry.map_or(0, |e| e.revision);
    if revision == write.revision {
        return retry(state, now, write);
    }
    let record = entry.and_then(|e| serde_json::from_str::<ClaimRecord>(&e.value).ok());
    match record {
        Some(record) if record == write.record => taken(state, now, &write, revision, out),
        Some(record) => found(state, now, &write, &record, revision, out),
        // The claim has run out while this request waited: the key is new again.
        None => {
            let write = ClaimWrite { revision, ..write };
            retry(state, now, write);
        }
    }
}

/// The claim stands as this request wrote it.
fn taken(
    state: &mut RouterState,
    now: Millis,
    write: &ClaimWrite,
    revision: i64,
    out: &mut Vec<Effect>,
) {
    if !waits_for(state, write) {
        return;
    }
    let Some(request) = state.requests.get_mut(&write.request) else {
        return;
    };
    let Some(once) = &mut request.once else {
        return;
    };
    once.attempt = write.record.attempt;
    once.incarnation = write.record.incarnation;
    once.revision = revision;
    let note = Note::new(NoteCode::ClaimTaken)
        .with("request", write.request)
        .with("claim", write.key)
        .with("attempt", write.record.attempt)
        .with("agent", &write.record.agent);
    out.push(Effect::Note(note));
    match request.stage.clone() {
        Stage::Releasing(problem) => finish::end_with(state, now, write.request, *problem, out),
        Stage::Claiming { agent, group } => {
            send_claimed(state, now, write, &agent, &group, out);
        }
        _ => {}
    }
}

/// Sends a claimed request, if the agent it is bound to is still the same.
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
        sending::send(state, now, write.request, agent, group, out);
    } else {
        // Never sent under this attempt, so it may be bound anew.
        sending::park(state, now, write.request, out);
    }
}

/// The claim stands as another request wrote it.
fn found(
    state: &mut RouterState,
    now: Millis,
    write: &ClaimWrite,
    record: &ClaimRecord,
    revision: i64,
    out: &mut Vec<Effect>,
) {
    if !waits_for(state, write) {
        return;
    }
    let note = Note::new(NoteCode::ClaimFound)
        .with("request", write.request)
        .with("claim", write.key)
        .with("attempt", record.attempt)
        .with("agent", &record.agent);
    out.push(Effect::Note(note));
    let Some(request) = state.requests.get_mut(&write.request) else {
        return;
    };
    let Some(once) = &mut request.once else {
        return;
    };
    once.mine = false;
    if record.content != once.content {
        let detail = "this Idempotency-Key was used for another request";
        let problem = Problem::not_run(422, detail);
        return finish::end_with(state, now, write.request, problem, out);
    }
    once.attempt = record.attempt;
    once.incarnation = record.incarnation;
    once.revision = revision;
    if record.released {
        request.stage = Stage::Parked(now);
        return sending::dispatch(state, now, write.request, out);
    }
    recalling::begin(state, now, write.request, &record.agent, record.addr, out);
}
