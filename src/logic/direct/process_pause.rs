//! Pauses of this process: it was frozen or suspended, or took long to handle one event.
//!
//! Updates that arrived meanwhile lie unread in sockets, and a caller's request may be read
//! before them. So the routing is read again before further requests are admitted.

use super::{DirectEffect, DirectState};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::Millis;

/// Time without a tick that counts as a pause: less than the shortest time within which a
/// new routing must be in force, and well above what a busy process takes for one event.
const MIN_PAUSE_MS: Millis = 500;

/// Longest time that requests wait for the routing to be read.
const MAX_WAIT_MS: Millis = 1_000;

/// Reading of the routing that requests wait for after a pause.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RoutingRecheck {
    /// Number of the last reading that was requested.
    pub read_number: u64,
    /// Time at which it was requested, while requests wait for it.
    pub waiting_since: Option<Millis>,
}

/// Detects a pause before this event, and requests a reading of the routing after one.
pub(super) fn detect(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let paused = now.saturating_sub(state.ticked_at);
    if paused < MIN_PAUSE_MS || state.pause.waiting_since.is_some() || state.routing.is_none() {
        return;
    }
    state.pause.read_number += 1;
    state.pause.waiting_since = Some(now);
    out.push(Effect::Log(
        LogEvent::new(LogCode::Paused).with("ms", paused),
    ));
    let read_number = state.pause.read_number;
    out.push(Effect::Direct(DirectEffect::ReadRouting { read_number }));
}

/// Handles the result of a reading of the routing that began after it was requested; `read_number`
/// is its number.
pub(super) fn on_routing_checked(state: &mut DirectState, read_number: u64) {
    if read_number == state.pause.read_number {
        state.pause.waiting_since = None;
    }
}

/// Ends a wait that has taken too long, as the store may be unreachable.
pub(super) fn on_tick(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let over = |since: Millis| now >= since + MAX_WAIT_MS;
    if state.pause.waiting_since.is_some_and(over) {
        state.pause.waiting_since = None;
        let version = state.routing.as_ref().map_or(0, |r| r.version);
        let event = LogEvent::new(LogCode::RoutingUnchecked).with("version", version);
        out.push(Effect::Log(event));
    }
}
