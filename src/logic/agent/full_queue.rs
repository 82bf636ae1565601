//! Bound on the memory of the requests that wait at an agent.

use super::AgentState;
use crate::logic::{Effect, LogCode, LogEvent};
use crate::message::RunOrder;
use crate::types::Millis;

/// Shortest time between two lines of the log.
const LOG_INTERVAL_MS: Millis = 10_000;

/// Requests that were refused as the memory for waiting ones was in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct FullQueue {
    /// Number since the last line of the log.
    pub unlogged: u64,
    /// When that line was written.
    pub logged_at: Option<Millis>,
}

/// Whether there is no memory for another request. A single one always finds some.
pub(super) fn is_full(state: &AgentState, order: &RunOrder) -> bool {
    let waiting = state.queue.jobs().iter();
    let used: usize = waiting.map(|j| j.order.body.len()).sum();
    used > 0 && used + order.body.len() > state.params.queue_bytes as usize
}

/// Counts a refusal, and logs those since the last line.
pub(super) fn on_refusal(state: &mut AgentState, now: Millis, out: &mut Vec<Effect>) {
    let full = &mut state.full_queue;
    full.unlogged += 1;
    if full.logged_at.is_some_and(|at| now < at + LOG_INTERVAL_MS) {
        return;
    }
    full.logged_at = Some(now);
    let event = LogEvent::new(LogCode::ClientLimited)
        .with("limit", "queue_bytes")
        .with("listener", "queue")
        .with("count", std::mem::take(&mut full.unlogged));
    out.push(Effect::Log(event));
}
