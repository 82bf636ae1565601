//! Hands waiting requests to the endpoint as slots allow.

use super::{AgentState, Job, RunningJob, StopReason};
use crate::logic::{Effect, EndpointCall, StartOrder};
use crate::types::Millis;

/// Starts waiting requests while slots are free for them, then pauses a run for the next one.
pub(super) fn start_waiting(state: &mut AgentState, now: Millis, out: &mut Vec<Effect>) {
    if !state.is_open(now) {
        return;
    }
    while let Some(index) = state.queue.next_index(state.params.by_class) {
        let priority = state.queue.jobs()[index].priority;
        if !has_free_slot(state, priority) {
            pause_for(state, priority, out);
            return;
        }
        let job = state.queue.dequeue(index);
        start_job(state, now, job, out);
    }
}

/// Whether a request of this priority may take a slot now.
///
/// Slots that are reserved for more urgent classes, and not in use by them, stay free.
fn has_free_slot(state: &AgentState, priority: u8) -> bool {
    let free = (state.params.slots as usize).saturating_sub(state.running.len());
    if !state.params.by_class {
        return free > 0;
    }
    let reserved: usize = state
        .brief
        .classes
        .iter()
        .filter(|c| c.priority < priority)
        .map(|c| {
            let used = running_count(state, c.priority);
            (c.reserved as usize).saturating_sub(used)
        })
        .sum();
    free > reserved
}

fn running_count(state: &AgentState, priority: u8) -> usize {
    state
        .running
        .values()
        .filter(|r| r.job.priority == priority)
        .count()
}

/// Pauses the most recently started run of the least urgent class that may be paused.
///
/// No more runs are stopped at a time than requests of this or a higher urgency wait.
fn pause_for(state: &mut AgentState, priority: u8, out: &mut Vec<Effect>) {
    if !state.params.by_class {
        return;
    }
    let waiting = state
        .queue
        .jobs()
        .iter()
        .filter(|j| j.priority <= priority)
        .count();
    let stopping = state
        .running
        .values()
        .filter(|r| r.stop_reason.is_some())
        .count();
    if stopping >= waiting {
        return;
    }
    let youngest = state
        .running
        .iter()
        .filter(|(_, r)| r.job.preempt && r.stop_reason.is_none() && r.job.priority > priority)
        .max_by_key(|(_, r)| (r.job.priority, r.started_at))
        .map(|(run, _)| *run);
    let Some(run) = youngest else {
        return;
    };
    if let Some(running) = state.running.get_mut(&run) {
        running.stop_reason = Some(StopReason::Paused);
        let epoch = running.epoch;
        out.push(Effect::Endpoint(EndpointCall::Cancel { run, epoch }));
    }
}

fn start_job(state: &mut AgentState, now: Millis, mut job: Job, out: &mut Vec<Effect>) {
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
    let running = RunningJob {
        job,
        epoch,
        started_at: now,
        stop_reason: None,
    };
    state.running.insert(run, running);
}
