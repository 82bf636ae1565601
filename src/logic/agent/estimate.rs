//! How long a request would wait and run here, from what has run before.

use super::AgentState;
use crate::message::ClassLoad;
use crate::types::Millis;

/// Weight of the old mean against one new run time.
const MEAN_WEIGHT: u64 = 7;

/// Counts the time of a run, pauses included.
pub(super) fn count(state: &mut AgentState, priority: u8, took: Millis) {
    let mean = state.means.entry(priority).or_insert(0);
    *mean = match *mean {
        0 => took.max(1),
        mean => (mean * MEAN_WEIGHT + took) / (MEAN_WEIGHT + 1),
    };
}

/// Mean time of a run of one priority; 0 before the first.
pub(super) fn mean(state: &AgentState, priority: u8) -> Millis {
    state.means.get(&priority).copied().unwrap_or(0)
}

/// Time until one more request of a priority would start.
///
/// What it can pause doesn't count; slots kept for more urgent classes aren't its own.
pub(super) fn wait(state: &AgentState, priority: u8) -> Millis {
    let by_class = state.knobs.by_class;
    let ahead = |p: u8| !by_class || p <= priority;
    let blocks = |r: &&super::Running| ahead(r.job.priority) || !r.job.preempt;
    let running = state.running.values().filter(blocks);
    let waiting = state.queue.jobs().iter().filter(|j| ahead(j.priority));
    let slots = usable_slots(state, priority);
    let count = (running.clone().count() + waiting.clone().count()) as u64;
    if count < slots {
        return 0;
    }
    // A run that is under way is on average half done.
    let running: u64 = running.map(|r| mean(state, r.job.priority) / 2).sum();
    let waiting: u64 = waiting.map(|j| mean(state, j.priority)).sum();
    (running + waiting) / slots
}

fn usable_slots(state: &AgentState, priority: u8) -> u64 {
    let slots = u64::from(state.knobs.slots.max(1));
    if !state.knobs.by_class {
        return slots;
    }
    let classes = state.brief.classes.iter();
    let kept: u32 = classes
        .filter(|c| c.priority < priority)
        .map(|c| c.reserved)
        .sum();
    slots.saturating_sub(u64::from(kept)).max(1)
}

/// Load of every class of the bundle.
pub(super) fn loads(state: &AgentState) -> Vec<ClassLoad> {
    let mut loads: Vec<_> = state
        .brief
        .classes
        .iter()
        .map(|c| ClassLoad {
            priority: c.priority,
            queued: state.queue.count(c.priority),
            wait_ms: wait(state, c.priority),
            mean_ms: mean(state, c.priority),
        })
        .collect();
    loads.sort_by_key(|l| l.priority);
    loads.dedup_by_key(|l| l.priority);
    loads
}
