//! Hands waiting requests to the endpoint as slots allow.

use super::{AgentState, Job, Running, StopReason};
use crate::logic::{Effect, EndpointCall, StartOrder};
use crate::types::Millis;

/// Starts what may start, and pauses what has to make room.
pub(super) fn pump(state: &mut AgentState, now: Millis, out: &mut Vec<Effect>) {
    if !state.open(now) {
        return;
    }
    while let Some(index) = state.queue.next_index(state.knobs.by_class) {
        let priority = state.queue.jobs()[index].priority;
        if !slot_free(state, priority) {
            make_room(state, priority, out);
            return;
        }
        let job = state.queue.start(index);
        start(state, now, job, out);
    }
}

/// Whether a request of this priority may take a slot now.
///
/// Slots reserved for more urgent classes and not in use by them stay free.
fn slot_free(state: &AgentState, priority: u8) -> bool {
    let free = (state.knobs.slots as usize).saturating_sub(state.running.len());
    if !state.knobs.by_class {
        return free > 0;
    }
    let kept: usize = state
        .brief
        .classes
        .iter()
        .filter(|c| c.priority < priority)
        .map(|c| {
            let used = running_at(state, c.priority);
            (c.reserved as usize).saturating_sub(used)
        })
        .sum();
    free > kept
}

fn running_at(state: &AgentState, priority: u8) -> usize {
    state
        .running
        .values()
        .filter(|r| r.job.priority == priority)
        .count()
}

/// Pauses the youngest run of the least urgent class that may be paused.
fn make_room(state: &mut AgentState, priority: u8, out: &mut Vec<Effect>) {
    if !state.knobs.by_class {
        return;
    }
    let wanting = state
        .queue
        .jobs()
        .iter()
        .filter(|j| j.priority <= priority)
        .count();
    let pausing = state.running.values().filter(|r| r.stop.is_some()).count();
    if pausing >= wanting {
        return;
    }
    let victim = state
        .running
        .iter()
        .filter(|(_, r)| r.job.preempt && r.stop.is_none() && r.job.priority > priority)
        .max_by_key(|(_, r)| (r.job.priority, r.since))
        .map(|(run, _)| *run);
    let Some(run) = victim else {
        return;
    };
    if let Some(running) = state.running.get_mut(&run) {
        running.stop = Some(StopReason::Paused);
        let epoch = running.epoch;
        out.push(Effect::Endpoint(EndpointCall::Cancel { run, epoch }));
    }
}

fn start(state: &mut AgentState, now: Millis, mut job: Job, out: &mut Vec<Effect>) {
    let Some(lead) = &state.lead else {
        return;
    };
    let valid_until = if state.rules.all_present {
        lead.valid_until()
    } else {
        Millis::MAX
    };
    let run = job.order.run;
    out.push(Effect::Endpoint(EndpointCall::Start(Box::new(
        StartOrder {
            run,
            epoch: lead.record.epoch,
            kind: lead.record.kind,
            path: job.order.path.clone(),
            body: job.order.body.clone(),
            offset: job.pieces,
            prefix: job.text.clone(),
            priority: job.priority,
            valid_until,
        },
    ))));
    let epoch = lead.record.epoch;
    job.first_start.get_or_insert(now);
    let running = Running {
        job,
        epoch,
        since: now,
        stop: None,
    };
    state.running.insert(run, running);
}
