//! Leaving in order: serve on while a successor forms, drain, give back, exit.

use super::{lead, AgentState};
use crate::logic::{Effect, Note, NoteCode};
use crate::types::Millis;

/// Begins to leave; a second call changes nothing.
pub(super) fn begin(state: &mut AgentState, now: Millis, out: &mut Vec<Effect>) {
    if state.leaving_at.is_some() {
        return;
    }
    state.leaving_at = Some(now);
    out.push(Effect::Note(Note::new(NoteCode::Leaving)));
    if let Some(lead) = &mut state.lead {
        lead.leaving_at.get_or_insert(now);
    }
}

/// Drains the led group a bounded time after a member was seen leaving.
pub(super) fn tend_group(state: &mut AgentState, now: Millis, out: &mut Vec<Effect>) {
    let leave_ms = state.knobs.leave_ms;
    let due = state
        .lead
        .as_ref()
        .and_then(|l| l.leaving_at)
        .is_some_and(|at| now >= at + leave_ms);
    if due {
        lead::drain(state, out);
    }
}

/// Ends the process once it has nothing left to do.
pub(super) fn exit_when_done(state: &AgentState, out: &mut Vec<Effect>) {
    let done = state.lead.is_none() && state.grant.is_none() && state.busy() == 0;
    if state.stopping && done {
        out.push(Effect::Exit);
    }
}
