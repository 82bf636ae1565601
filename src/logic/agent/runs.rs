//! Runs at the endpoint and the ends of requests: pieces, results, refusals, cancellations.

use super::{estimate, AgentState, ClaimStatus, Job};
use crate::logic::{Effect, EndpointCall, RunResult};
use crate::message::{AttemptEnd, Message, Refusal, RunId};
use crate::types::{InstanceId, Millis};

/// Why a running request was cancelled at the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StopReason {
    /// A more urgent request needs its slot; it goes back to the queue.
    Paused,
    /// No router waits for it any more.
    NoWatchers,
}

/// A request handed to the endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RunningJob {
    /// The request.
    pub job: Job,
    /// Epoch of the group under which it was handed over.
    pub epoch: u64,
    /// When it was handed over.
    pub started_at: Millis,
    /// Set once its cancellation has been ordered.
    pub stop_reason: Option<StopReason>,
}

/// Whether a run waits or runs here.
pub(super) fn is_known(state: &AgentState, run: &RunId) -> bool {
    state.running.contains_key(run) || state.queue.jobs().iter().any(|j| &j.order.run == run)
}

/// Sends a piece to every router that watches the run.
pub(super) fn on_piece(state: &mut AgentState, run: &RunId, text: String, out: &mut Vec<Effect>) {
    let Some(running) = state.running.get_mut(run) else {
        return;
    };
    let job = &mut running.job;
    for (router, run) in &job.watchers {
        out.push(Effect::Send {
            to: router.clone(),
            message: Message::Piece {
                run: *run,
                offset: job.pieces,
                text: text.clone(),
            },
        });
    }
    job.pieces += 1;
    if job.preempt || job.order.once.is_some() {
        job.text.push_str(&text);
    }
}

/// Handles the end of a run at the endpoint.
pub(super) fn on_end(
    state: &mut AgentState,
    now: Millis,
    run: &RunId,
    result: RunResult,
    out: &mut Vec<Effect>,
) {
    let Some(mut running) = state.running.remove(run) else {
        return;
    };
    let paused = running.stop_reason == Some(StopReason::Paused);
    match result {
        RunResult::Cancelled if paused => {
            // It has run in part, so it can no longer be reported as not run.
            running.job.was_paused = true;
            state.queue.push_front(running.job);
        }
        RunResult::Complete(status) => {
            let took = now.saturating_sub(running.job.first_start.unwrap_or(running.started_at));
            estimate::record_run_time(state, running.job.priority, took);
            end_complete(state, &running.job, status, out);
        }
        RunResult::NotRun if !running.job.was_paused => {
            refuse(state, &running.job, &Refusal::Endpoint, out);
        }
        _ => end_broken(state, &running.job, out),
    }
}

fn end_complete(state: &mut AgentState, job: &Job, status: u16, out: &mut Vec<Effect>) {
    if let Some(once) = &job.order.once {
        let fits = job.text.len() <= state.params.answer_bytes as usize;
        let done = ClaimStatus::Done {
            status,
            pieces: job.pieces,
            text: fits.then(|| job.text.clone()),
        };
        let limit = state.params.answers_bytes as usize;
        state.memory.finish(&once.key, done, limit);
    }
    let end = AttemptEnd::Complete {
        status,
        pieces: job.pieces,
    };
    send_end(job, &end, out);
}

fn end_broken(state: &mut AgentState, job: &Job, out: &mut Vec<Effect>) {
    if let Some(once) = &job.order.once {
        state.memory.set(&once.key, ClaimStatus::Lost);
    }
    send_end(job, &AttemptEnd::Broken, out);
}

/// Refuses an admitted job. One that has been paused has run in part, so its outcome is reported
/// as unknown instead.
pub(super) fn refuse(state: &mut AgentState, job: &Job, refusal: &Refusal, out: &mut Vec<Effect>) {
    if job.was_paused {
        end_broken(state, job, out);
        return;
    }
    if let Some(once) = &job.order.once {
        state.memory.set(&once.key, ClaimStatus::Barred);
    }
    send_end(job, &AttemptEnd::Refused(refusal.clone()), out);
}

fn send_end(job: &Job, end: &AttemptEnd, out: &mut Vec<Effect>) {
    for (router, run) in &job.watchers {
        out.push(Effect::Send {
            to: router.clone(),
            message: Message::End {
                run: *run,
                end: end.clone(),
            },
        });
    }
}

/// Refuses an attempt that wasn't admitted.
pub(super) fn send_refusal(to: &InstanceId, run: RunId, refusal: Refusal, out: &mut Vec<Effect>) {
    out.push(Effect::Send {
        to: to.clone(),
        message: Message::End {
            run,
            end: AttemptEnd::Refused(refusal),
        },
    });
}

/// Refuses all waiting requests.
pub(super) fn refuse_waiting(state: &mut AgentState, refusal: &Refusal, out: &mut Vec<Effect>) {
    for job in state.queue.remove_matching(|_| true) {
        refuse(state, &job, refusal, out);
    }
}

/// Refuses waiting requests whose deadline has passed.
pub(super) fn refuse_expired(state: &mut AgentState, now: Millis, out: &mut Vec<Effect>) {
    let expired = state.queue.remove_matching(|j| j.deadline <= now);
    for job in expired {
        let wait = estimate::expected_wait(state, job.priority);
        refuse(state, &job, &Refusal::TooLate(wait), out);
    }
}

/// Cancels all running requests and reports their outcome as unknown.
pub(super) fn cancel_running(state: &mut AgentState, out: &mut Vec<Effect>) {
    let running = std::mem::take(&mut state.running);
    for (run, running) in running {
        let epoch = running.epoch;
        out.push(Effect::Endpoint(EndpointCall::Cancel { run, epoch }));
        end_broken(state, &running.job, out);
    }
}

/// Handles a router's order to cancel an attempt.
pub(super) fn on_cancel(
    state: &mut AgentState,
    from: &InstanceId,
    run: &RunId,
    out: &mut Vec<Effect>,
) {
    let waiting = state.queue.remove_matching(|j| &j.order.run == run);
    for job in waiting {
        refuse(state, &job, &Refusal::Cancelled, out);
    }
    remove_watchers(
        state,
        |router, watched| router == from && watched == run,
        out,
    );
}

/// Removes a router that has lost its session from the watchers of all requests.
pub(super) fn on_router_down(state: &mut AgentState, router: &InstanceId, out: &mut Vec<Effect>) {
    remove_watchers(state, |r, _| r == router, out);
}

/// Removes watchers. A request that may be repeated and has none left is dropped from the queue or
/// cancelled at the endpoint.
fn remove_watchers(
    state: &mut AgentState,
    is_gone: impl Fn(&InstanceId, &RunId) -> bool,
    out: &mut Vec<Effect>,
) {
    for job in state.queue.jobs_mut() {
        job.watchers.retain(|(r, run)| !is_gone(r, run));
    }
    state
        .queue
        .remove_matching(|j| j.watchers.is_empty() && j.order.once.is_none());
    for (run, running) in &mut state.running {
        running.job.watchers.retain(|(r, run)| !is_gone(r, run));
        let is_unwatched = running.job.watchers.is_empty() && running.job.order.once.is_none();
        if is_unwatched && running.stop_reason != Some(StopReason::NoWatchers) {
            running.stop_reason = Some(StopReason::NoWatchers);
            let epoch = running.epoch;
            out.push(Effect::Endpoint(EndpointCall::Cancel { run: *run, epoch }));
        }
    }
}
