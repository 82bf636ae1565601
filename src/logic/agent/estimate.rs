//! Estimates how long a request waits and runs here, from the times of earlier runs.

use super::AgentState;
use crate::message::ClassLoad;
use crate::types::Millis;

/// Weight of the previous mean against one new run time.
const MEAN_WEIGHT: u64 = 7;

/// Adds the time of a run, pauses included, to the mean of its priority.
pub(super) fn record_run_time(state: &mut AgentState, priority: u8, took: Millis) {
    let mean = state.mean_times.entry(priority).or_insert(0);
    *mean = match *mean {
        0 => took.max(1),
        mean => (mean * MEAN_WEIGHT + took) / (MEAN_WEIGHT + 1),
    };
}

/// Mean time of a run of one priority, in milliseconds; 0 before the first.
pub(super) fn mean_time(state: &AgentState, priority: u8) -> Millis {
    state.mean_times.get(&priority).copied().unwrap_or(0)
}

/// Expected time until one more request of a priority starts, in milliseconds.
///
/// Runs that it can pause and less urgent waiting requests don't count. Slots reserved for more
/// urgent classes aren't available to it.
pub(super) fn expected_wait(state: &AgentState, priority: u8) -> Millis {
    let by_class = state.params.by_class;
    let ahead = |p: u8| !by_class || p <= priority;
    let blocks = |r: &&super::RunningJob| ahead(r.job.priority) || !r.job.preempt;
    let running = state.running.values().filter(blocks);
    let waiting = state.queue.jobs().iter().filter(|j| ahead(j.priority));
    let slots = usable_slots(state, priority);
    let count = (running.clone().count() + waiting.clone().count()) as u64;
    if count < slots {
        return 0;
    }
    // A run in progress is half done on average.
    let running: u64 = running.map(|r| mean_time(state, r.job.priority) / 2).sum();
    let waiting: u64 = waiting.map(|j| mean_time(state, j.priority)).sum();
    (running + waiting) / slots
}

fn usable_slots(state: &AgentState, priority: u8) -> u64 {
    let slots = u64::from(state.params.slots.max(1));
    if !state.params.by_class {
        return slots;
    }
    let classes = state.brief.classes.iter();
    let reserved: u32 = classes
        .filter(|c| c.priority < priority)
        .map(|c| c.reserved)
        .sum();
    slots.saturating_sub(u64::from(reserved)).max(1)
}

/// Load by priority, for each class of the bundle.
pub(super) fn class_loads(state: &AgentState) -> Vec<ClassLoad> {
    let mut loads: Vec<_> = state
        .brief
        .classes
        .iter()
        .map(|c| ClassLoad {
            priority: c.priority,
            queued: state.queue.count(c.priority),
            wait_ms: expected_wait(state, c.priority),
            mean_ms: mean_time(state, c.priority),
        })
        .collect();
    loads.sort_by_key(|l| l.priority);
    loads.dedup_by_key(|l| l.priority);
    loads
}
