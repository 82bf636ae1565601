//! Which endpoints of engines serve in no group, and why.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{order, survey, IdleReason, OrderUse};
use crate::logic::direct::{DirectState, GroupStep, Mechanism};
use crate::logic::{Effect, Note, NoteCode};
use crate::types::{InstanceId, Millis};

/// Time for which an endpoint must be free until it counts as idle: the steps from
/// one group to the next take less.
const IDLE_MS: Millis = 1_000;

/// An endpoint that is free.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Idle {
    /// Since when.
    pub since: Millis,
    /// Why.
    pub reason: IdleReason,
    /// Whether this reason was logged.
    pub told: bool,
    /// The group that it was told to leave: the list shows it there though it is over.
    pub left: Option<Arc<str>>,
}

/// Notes who is idle, and logs each new reason once.
pub(super) fn tend(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let mut idle = BTreeMap::new();
    for id in survey::free(state).into_values().flatten() {
        let reason = reason(state, &id);
        let known = state.plan.idle.get(&id).cloned();
        let since = known.as_ref().map_or(now, |i| i.since);
        let told = known.as_ref().is_some_and(|i| i.told && i.reason == reason);
        let due = !told && now >= since + IDLE_MS;
        if due {
            out.push(Effect::Note(note(state, now, &id, since, reason)));
        }
        let told = told || due;
        let mut left = known.and_then(|i| i.left.clone());
        if now >= since + IDLE_MS && state.knobs.on(Mechanism::Freeing) {
            left = leave(state, &id, left, out);
        }
        let entry = Idle {
            since,
            reason,
            told,
            left,
        };
        idle.insert(id, entry);
    }
    state.plan.idle = idle;
}

/// Tells an endpoint that still has a place in a group which is over to leave it, once.
/// A planner that takes over can't know that the group is over, and would wait until
/// its head must have broken.
fn leave(
    state: &mut DirectState,
    id: &InstanceId,
    left: Option<Arc<str>>,
    out: &mut Vec<Effect>,
) -> Option<Arc<str>> {
    let seat = state.endpoints.get(id)?.entry.seat.clone()?;
    let over = state.plan.ended.contains(&seat.group);
    if !over || left.as_ref() == Some(&seat.group) {
        return left;
    }
    let step = GroupStep::Leave {
        group: seat.group.clone(),
        epoch: seat.epoch,
    };
    order::give(state, id, step, OrderUse::Free(id.clone()), out);
    Some(seat.group)
}

fn reason(state: &DirectState, id: &InstanceId) -> IdleReason {
    let view = state.endpoints.get(id);
    let holds = view.is_some_and(|v| v.last.is_some() || !v.entry.staged.is_empty());
    if holds {
        IdleReason::Waits
    } else if state.plan.staging.contains_key(id) {
        IdleReason::Loads
    } else {
        IdleReason::Empty
    }
}

fn note(
    state: &DirectState,
    now: Millis,
    id: &InstanceId,
    since: Millis,
    reason: IdleReason,
) -> Note {
    let view = state.endpoints.get(id);
    let held = view.and_then(|v| v.last.as_deref()).unwrap_or("-");
    let staged: Vec<&str> = view.map_or(Vec::new(), |v| {
        v.entry.staged.iter().map(|m| &**m).collect()
    });
    let loads = state.plan.staging.get(id).map_or("-", |s| &*s.model);
    Note::new(NoteCode::EndpointIdle)
        .with("endpoint", id)
        .with("domain", view.map_or("", |v| &*v.entry.domain))
        .with("reason", reason.name())
        .with("for", now.saturating_sub(since))
        .with("held", held)
        .with("host", staged.join(","))
        .with("loads", loads)
}
