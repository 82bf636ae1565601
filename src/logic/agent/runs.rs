//! Runs and their ends: pieces, results, refusals, cancels.

use super::{estimate, AgentState, Job, OnceState};
use crate::logic::{Effect, EndpointCall, RunResult};
use crate::message::{AttemptEnd, Message, Refusal, RunId};
use crate::types::{InstanceId, Millis};

/// Why a running request was told to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StopReason {
    /// A more urgent one needs its slot; it goes back to the queue.
    Paused,
    /// Nobody waits for it any more.
    Unwanted,
}

/// A request handed to the endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Running {
    /// The request.
    pub job: Job,
    /// Fence it runs under.
    pub epoch: u64,
    /// When it was handed over.
    pub since: Millis,
    /// Set once it was told to stop.
    pub stop: Option<StopReason>,
}

/// Whether a run is waiting or running here.
pub(super) fn known(state: &AgentState, run: &RunId) -> bool {
    state.running.contains_key(run) || state.queue.jobs().iter().any(|j| &j.order.run == run)
}

/// Passes a piece on to everyone who waits for it.
pub(super) fn piece(state: &mut AgentState, run: &RunId, text: String, out: &mut Vec<Effect>) {
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

/// Settles a run that has ended at the endpoint.
pub(super) fn ended(
    state: &mut AgentState,
    now: Millis,
    run: &RunId,
    result: RunResult,
    out: &mut Vec<Effect>,
) {
    let Some(mut running) = state.running.remove(run) else {
        return;
    };
    let paused = running.stop == Some(StopReason::Paused);
    match result {
        RunResult::Cancelled if paused => {
            // It has been at the endpoint: from now on it can't be said not to have run.
            running.job.started = true;
            state.queue.push_front(running.job);
        }
        RunResult::Complete(status) => {
            let took = now.saturating_sub(running.job.first_start.unwrap_or(running.since));
            estimate::count(state, running.job.priority, took);
            complete(state, &running.job, status, out);
        }
        RunResult::NotRun if !running.job.started => {
            refuse(state, &running.job, &Refusal::Endpoint, out);
        }
        _ => broken(state, &running.job, out),
    }
}

fn complete(state: &mut AgentState, job: &Job, status: u16, out: &mut Vec<Effect>) {
    if let Some(once) = &job.order.once {
        let fits = job.text.len() <= state.knobs.answer_bytes as usize;
        let done = OnceState::Done {
            status,
            pieces: job.pieces,
            text: fits.then(|| job.text.clone()),
        };
        let limit = state.knobs.answers_bytes as usize;
        state.memory.done(&once.key, done, limit);
    }
    let end = AttemptEnd::Complete {
        status,
        pieces: job.pieces,
    };
    tell(job, &end, out);
}

fn broken(state: &mut AgentState, job: &Job, out: &mut Vec<Effect>) {
    if let Some(once) = &job.order.once {
        state.memory.set(&once.key, OnceState::Lost);
    }
    tell(job, &AttemptEnd::Broken, out);
}

/// Refuses a job that was taken but hasn't run.
pub(super) fn refuse(state: &mut AgentState, job: &Job, refusal: &Refusal, out: &mut Vec<Effect>) {
    if job.started {
        broken(state, job, out);
        return;
    }
    if let Some(once) = &job.order.once {
        state.memory.set(&once.key, OnceState::Barred);
    }
    tell(job, &AttemptEnd::Refused(refusal.clone()), out);
}

fn tell(job: &Job, end: &AttemptEnd, out: &mut Vec<Effect>) {
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

/// Refuses an attempt that wasn't taken.
pub(super) fn send_refusal(to: &InstanceId, run: RunId, refusal: Refusal, out: &mut Vec<Effect>) {
    out.push(Effect::Send {
        to: to.clone(),
        message: Message::End {
            run,
            end: AttemptEnd::Refused(refusal),
        },
    });
}

/// Refuses all that waits.
pub(super) fn refuse_waiting(state: &mut AgentState, refusal: &Refusal, out: &mut Vec<Effect>) {
    for job in state.queue.take(|_| true) {
        refuse(state, &job, refusal, out);
    }
}

/// Refuses what waits beyond its deadline; the answer goes out at once.
pub(super) fn refuse_late(state: &mut AgentState, now: Millis, out: &mut Vec<Effect>) {
    let late = state.queue.take(|j| j.deadline <= now);
    for job in late {
        let wait = estimate::wait(state, job.priority);
        refuse(state, &job, &Refusal::TooLate(wait), out);
    }
}

/// Ends all that runs with an unknown outcome.
pub(super) fn break_running(state: &mut AgentState, out: &mut Vec<Effect>) {
    let running = std::mem::take(&mut state.running);
    for (run, running) in running {
        let epoch = running.epoch;
        out.push(Effect::Endpoint(EndpointCall::Cancel { run, epoch }));
        broken(state, &running.job, out);
    }
}

/// Stops an attempt on its router's word.
pub(super) fn cancelled(
    state: &mut AgentState,
    from: &InstanceId,
    run: &RunId,
    out: &mut Vec<Effect>,
) {
    let waiting = state.queue.take(|j| &j.order.run == run);
    for job in waiting {
        refuse(state, &job, &Refusal::Cancelled, out);
    }
    drop_watcher(
        state,
        |router, watched| router == from && watched == run,
        out,
    );
}

/// A router has gone: nobody waits for its requests any more.
pub(super) fn router_gone(state: &mut AgentState, router: &InstanceId, out: &mut Vec<Effect>) {
    drop_watcher(state, |r, _| r == router, out);
}

/// Removes watchers; a repeatable request without any is dropped or stopped.
fn drop_watcher(
    state: &mut AgentState,
    gone: impl Fn(&InstanceId, &RunId) -> bool,
    out: &mut Vec<Effect>,
) {
    for job in state.queue.jobs_mut() {
        job.watchers.retain(|(r, run)| !gone(r, run));
    }
    state
        .queue
        .take(|j| j.watchers.is_empty() && j.order.once.is_none());
    for (run, running) in &mut state.running {
        running.job.watchers.retain(|(r, run)| !gone(r, run));
        let unwanted = running.job.watchers.is_empty() && running.job.order.once.is_none();
        if unwanted && running.stop != Some(StopReason::Unwanted) {
            running.stop = Some(StopReason::Unwanted);
            let epoch = running.epoch;
            out.push(Effect::Endpoint(EndpointCall::Cancel { run: *run, epoch }));
        }
    }
}
