//! Reports endpoints of engines that serve in no group, with the reason, and frees those
//! that still have a seat in a group that has ended.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{order, survey, IdleReason, OrderUse};
use crate::logic::direct::{DirectState, GroupStep, Mechanism};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::{InstanceId, Millis};

/// Time for which an endpoint must be free before it is reported: a move from one group to
/// the next takes less.
const MIN_IDLE_MS: Millis = 1_000;

/// Most endpoints that one pass logs in a line each.
const MAX_LINES: usize = 8;

/// An endpoint that is free.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IdleEndpoint {
    /// Since when.
    pub since: Millis,
    /// Since when it has waited for others, having a model; none while it doesn't.
    pub waits_since: Option<Millis>,
    /// Why.
    pub reason: IdleReason,
    /// Whether it was logged with this reason.
    pub logged: bool,
    /// The ended group that it was ordered to leave, as the list still shows its seat there.
    pub leave_sent: Option<Arc<str>>,
}

/// Updates the free endpoints with their reasons, and logs each new reason once.
pub(super) fn on_tick(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let mut idle = BTreeMap::new();
    let mut due_events = Vec::new();
    for id in survey::free(state).into_values().flatten() {
        let reason = idle_reason(state, &id);
        let known = state.plan.idle.get(&id).cloned();
        let since = known.as_ref().map_or(now, |i| i.since);
        let logged = known
            .as_ref()
            .is_some_and(|i| i.logged && i.reason == reason);
        let due = !logged && now >= since + MIN_IDLE_MS;
        if due {
            due_events.push((reason, idle_event(state, now, &id, since, reason)));
        }
        let logged = logged || due;
        let mut leave_sent = known.and_then(|i| i.leave_sent.clone());
        if now >= since + MIN_IDLE_MS && state.params.is_enabled(Mechanism::Freeing) {
            leave_sent = send_leave_once(state, &id, leave_sent);
        }
        let waited = state.plan.idle.get(&id).and_then(|i| i.waits_since);
        let waits_since = (reason == IdleReason::Waits).then(|| waited.unwrap_or(now));
        let entry = IdleEndpoint {
            since,
            waits_since,
            reason,
            logged,
            leave_sent,
        };
        idle.insert(id, entry);
    }
    state.plan.idle = idle;
    log_events(due_events, out);
}

/// Logs a line for each endpoint, or one with counts if there are many.
fn log_events(due: Vec<(IdleReason, LogEvent)>, out: &mut Vec<Effect>) {
    if due.len() <= MAX_LINES {
        return out.extend(due.into_iter().map(|(_, event)| Effect::Log(event)));
    }
    let count = |reason| due.iter().filter(|(r, _)| *r == reason).count();
    let event = LogEvent::new(LogCode::EndpointsIdle)
        .with("waits", count(IdleReason::Waits))
        .with("loads", count(IdleReason::Loads))
        .with("empty", count(IdleReason::Empty));
    out.push(Effect::Log(event));
}

/// Orders an endpoint that still has a seat in an ended group to leave it, once for each
/// group. A new planner can't know that the group has ended, and would wait until its head
/// must have broken. Returns the last group that the endpoint was ordered to leave.
fn send_leave_once(
    state: &mut DirectState,
    id: &InstanceId,
    leave_sent: Option<Arc<str>>,
) -> Option<Arc<str>> {
    let seat = state.endpoints.get(id)?.entry.seat.clone()?;
    let has_ended = state.plan.ended.contains(&seat.group);
    if !has_ended || leave_sent.as_ref() == Some(&seat.group) {
        return leave_sent;
    }
    let step = GroupStep::Leave {
        group: seat.group.clone(),
        epoch: seat.epoch,
    };
    order::enqueue(state, id, step, OrderUse::Free(id.clone()));
    Some(seat.group)
}

fn idle_reason(state: &DirectState, id: &InstanceId) -> IdleReason {
    let view = state.endpoints.get(id);
    let has_model = view.is_some_and(|v| v.last_model.is_some() || !v.entry.staged.is_empty());
    if has_model {
        IdleReason::Waits
    } else if state.plan.staging.contains_key(id) {
        IdleReason::Loads
    } else {
        IdleReason::Empty
    }
}

fn idle_event(
    state: &DirectState,
    now: Millis,
    id: &InstanceId,
    since: Millis,
    reason: IdleReason,
) -> LogEvent {
    let view = state.endpoints.get(id);
    let held = view.and_then(|v| v.last_model.as_deref()).unwrap_or("-");
    let staged: Vec<&str> = view.map_or(Vec::new(), |v| {
        v.entry.staged.iter().map(|m| &**m).collect()
    });
    let loads = state.plan.staging.get(id).map_or("-", |s| &*s.model);
    LogEvent::new(LogCode::EndpointIdle)
        .with("endpoint", id)
        .with("domain", view.map_or("", |v| &*v.entry.domain))
        .with("reason", reason.name())
        .with("for", now.saturating_sub(since))
        .with("held", held)
        .with("host", staged.join(","))
        .with("loads", loads)
}
