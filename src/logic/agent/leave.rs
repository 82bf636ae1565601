//! Orderly leave: the group serves on while a successor forms, drains and returns its grants. A
//! process that was asked to stop then exits.

use super::{lead, AgentState};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::Millis;

/// Begins to leave; a second call changes nothing.
pub(super) fn begin(state: &mut AgentState, now: Millis, out: &mut Vec<Effect>) {
    if state.leaving_at.is_some() {
        return;
    }
    state.leaving_at = Some(now);
    out.push(Effect::Log(LogEvent::new(LogCode::Leaving)));
    if let Some(lead) = &mut state.lead {
        lead.leaving_at.get_or_insert(now);
    }
}

/// Drains the led group once `leave_ms` has passed since a member was first seen leaving.
pub(super) fn drain_if_due(state: &mut AgentState, now: Millis, out: &mut Vec<Effect>) {
    let leave_ms = state.params.leave_ms;
    let due = state
        .lead
        .as_ref()
        .and_then(|l| l.leaving_at)
        .is_some_and(|at| now >= at + leave_ms);
    if due {
        lead::drain(state, out);
    }
}

/// Ends a process that shuts down, once it leads no group, grants nothing and has no request.
pub(super) fn exit_when_done(state: &AgentState, out: &mut Vec<Effect>) {
    let done = state.lead.is_none() && state.grant.is_none() && state.job_count() == 0;
    if state.stopping && done {
        out.push(Effect::Exit);
    }
}
