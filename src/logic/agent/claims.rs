//! Claimed requests, which may not be repeated: refusals and answers to queries about them.

use super::{AgentState, ClaimEntry, ClaimStatus};
use crate::logic::Effect;
use crate::message::{Message, Once, Recall, Refusal, RunId, RunOrder};
use crate::types::{InstanceId, Millis};

/// Why an attempt of a claimed key is refused, if it is.
pub(super) fn refusal(state: &AgentState, order: &RunOrder) -> Option<Refusal> {
    let once = order.once?;
    let entry = state.memory.get(&once.key)?;
    match entry.state {
        ClaimStatus::Barred if once.attempt > entry.attempt => None,
        ClaimStatus::Barred => Some(Refusal::Cancelled),
        _ => Some(Refusal::Duplicate),
    }
}

/// Bars a refused attempt, so that it doesn't run when the same order arrives again.
pub(super) fn bar_refused(state: &mut AgentState, now: Millis, order: &RunOrder) {
    let Some(once) = &order.once else {
        return;
    };
    bar(state, now, once);
}

/// A router's query about a claimed key.
pub(super) struct Query {
    pub run: RunId,
    pub once: Once,
    pub incarnation: u64,
    pub bar: bool,
}

/// Answers a query; where it asks for that, a key that never started is barred from starting.
pub(super) fn on_query(
    state: &mut AgentState,
    now: Millis,
    from: &InstanceId,
    query: &Query,
    out: &mut Vec<Effect>,
) {
    let recall = recall(state, now, from, query);
    out.push(Effect::Send {
        to: from.clone(),
        message: Message::Recalled {
            run: query.run,
            recall,
        },
    });
}

fn recall(state: &mut AgentState, now: Millis, from: &InstanceId, query: &Query) -> Recall {
    if state.rules.incarnation_check && query.incarnation != state.incarnation {
        return Recall::Lost;
    }
    let known = state.memory.get(&query.once.key).cloned();
    match known.map(|e| (e.attempt, e.state)) {
        None if !query.bar => Recall::NotSeen,
        None | Some((_, ClaimStatus::Barred)) => {
            if state.rules.query_bars {
                bar(state, now, &query.once);
            }
            Recall::NotRun
        }
        Some((attempt, _)) if attempt < query.once.attempt => Recall::Lost,
        Some((_, ClaimStatus::Active(run))) => add_watcher(state, from, query.run, &run),
        Some((
            _,
            ClaimStatus::Done {
                status,
                pieces,
                text: Some(text),
            },
        )) => Recall::Done {
            status,
            pieces,
            text,
        },
        Some((_, ClaimStatus::Done { text: None, .. } | ClaimStatus::Lost)) => Recall::Lost,
    }
}

/// Bars every attempt up to this one, unless one waits, runs or has run here.
fn bar(state: &mut AgentState, now: Millis, once: &Once) {
    let before = match state.memory.get(&once.key) {
        None => 0,
        Some(entry) if entry.state == ClaimStatus::Barred => entry.attempt,
        Some(_) => return,
    };
    let entry = ClaimEntry {
        attempt: before.max(once.attempt),
        state: ClaimStatus::Barred,
        until: now + once.keep_ms,
    };
    state.memory.put(once.key, entry);
}

/// Makes the querying router a watcher of a waiting or running request, so that it gets its
/// pieces too.
fn add_watcher(state: &mut AgentState, from: &InstanceId, query_run: RunId, run: &RunId) -> Recall {
    let waiting = state
        .queue
        .jobs_mut()
        .iter_mut()
        .find(|j| &j.order.run == run);
    let running = state.running.get_mut(run).map(|r| &mut r.job);
    let Some(job) = waiting.or(running) else {
        return Recall::Lost;
    };
    let watcher = (from.clone(), query_run);
    if !job.watchers.contains(&watcher) {
        job.watchers.push(watcher);
    }
    Recall::Running {
        pieces: job.pieces,
        text: job.text.clone(),
    }
}
