//! Pauses of the process: frozen, suspended, or busy with one event.
//!
//! Whatever happened meanwhile lies unread in sockets, and a caller's request may be read
//! first. So the routing is read anew before any request is taken up.

use super::{DirectEffect, DirectState};
use crate::logic::{Effect, Note, NoteCode};
use crate::types::Millis;

/// Time without a tick that counts as a pause: below the shortest bound within which a
/// routing has to be in force, and well above what a busy process takes for one event.
const PAUSE_MS: Millis = 500;

/// Longest time that requests wait for the routing to be read.
const WAIT_MS: Millis = 1_000;

/// Reading of the routing that requests wait for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PauseState {
    /// Number of the last reading that was asked for.
    pub asked: u64,
    /// When it was asked for, while it is awaited.
    pub since: Option<Millis>,
}

/// Finds out that there was a pause before this event.
pub(super) fn notice(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let paused = now.saturating_sub(state.ticked_at);
    if paused < PAUSE_MS || state.pause.since.is_some() || state.routing.is_none() {
        return;
    }
    state.pause.asked += 1;
    state.pause.since = Some(now);
    out.push(Effect::Note(Note::new(NoteCode::Paused).with("ms", paused)));
    let asked = state.pause.asked;
    out.push(Effect::Direct(DirectEffect::ReadRouting { asked }));
}

/// The routing was read by a call that began after this reading had been asked for.
pub(super) fn checked(state: &mut DirectState, asked: u64) {
    if asked == state.pause.asked {
        state.pause.since = None;
    }
}

/// Ends a wait that has lasted for too long: the store may be away.
pub(super) fn tend(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let over = |since: Millis| now >= since + WAIT_MS;
    if state.pause.since.is_some_and(over) {
        state.pause.since = None;
        let version = state.routing.as_ref().map_or(0, |r| r.version);
        let note = Note::new(NoteCode::RoutingUnchecked).with("version", version);
        out.push(Effect::Note(note));
    }
}
