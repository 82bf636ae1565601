//! Whether an attempt is taken, and why not.

use super::{claims, estimate, runs, AgentState, Job, OnceEntry, OnceState};
use crate::logic::Effect;
use crate::message::{Refusal, RunOrder};
use crate::types::{InstanceId, Millis};

/// Priority of a class that the agent's bundle doesn't know: after all others.
const LAST_PRIORITY: u8 = u8::MAX;

/// Takes or refuses an attempt.
pub(super) fn ordered(
    state: &mut AgentState,
    now: Millis,
    from: &InstanceId,
    order: RunOrder,
    out: &mut Vec<Effect>,
) {
    if let Some(used) = state.routers.get_mut(from) {
        *used = Some(now);
    }
    if runs::known(state, &order.run) {
        return;
    }
    if let Some(refusal) = refusal(state, now, &order) {
        claims::bar_refused(state, now, &order);
        runs::send_refusal(from, order.run, refusal, out);
        return;
    }
    let class = state.brief.class(&order.class);
    let job = Job {
        priority: class.map_or(LAST_PRIORITY, |c| c.priority),
        preempt: class.is_some_and(|c| c.preempt) && order.once.is_none(),
        deadline: now + order.left_ms,
        since: now,
        first_start: None,
        pieces: order.offset,
        text: order.prefix.clone(),
        watchers: vec![(from.clone(), order.run)],
        started: false,
        order,
    };
    if let Some(once) = job.order.once {
        let entry = OnceEntry {
            attempt: once.attempt,
            state: OnceState::Active(job.order.run),
            until: now + once.keep_ms,
        };
        state.memory.put(once.key, entry);
    }
    state.queue.push(job);
}

fn refusal(state: &AgentState, now: Millis, order: &RunOrder) -> Option<Refusal> {
    if state.rules.incarnation_check && order.incarnation != state.incarnation {
        return Some(Refusal::Incarnation);
    }
    if let Some(refusal) = bundle_refusal(state, order) {
        return Some(refusal);
    }
    if let Some(refusal) = group_refusal(state, now, order) {
        return Some(refusal);
    }
    if let Some(refusal) = claims::refusal(state, order) {
        return Some(refusal);
    }
    load_refusal(state, order)
}

fn bundle_refusal(state: &AgentState, order: &RunOrder) -> Option<Refusal> {
    if !state.rules.bundle_refusal {
        return None;
    }
    let own = state.brief.number;
    match order.bundle.cmp(&own) {
        std::cmp::Ordering::Less => Some(Refusal::Ahead(own)),
        std::cmp::Ordering::Greater => Some(Refusal::Behind(own)),
        std::cmp::Ordering::Equal => None,
    }
}

fn group_refusal(state: &AgentState, now: Millis, order: &RunOrder) -> Option<Refusal> {
    let Some(lead) = &state.lead else {
        return Some(Refusal::Epoch);
    };
    let same = lead.record.id == order.group && lead.record.epoch == order.epoch;
    if state.rules.epoch_fence && !same {
        return Some(Refusal::Epoch);
    }
    if lead.draining() {
        return Some(Refusal::Draining);
    }
    (!state.open(now)).then_some(Refusal::Closed)
}

/// A request that can't be answered before its deadline is refused at the door.
fn load_refusal(state: &AgentState, order: &RunOrder) -> Option<Refusal> {
    let class = state.brief.class(&order.class);
    let priority = class.map_or(LAST_PRIORITY, |c| c.priority);
    let wait = estimate::wait(state, priority);
    if state.queue.len() >= state.knobs.queue_limit as usize {
        return Some(Refusal::Full(wait.max(1)));
    }
    let end = wait + estimate::mean(state, priority);
    (end >= order.left_ms && wait > 0).then_some(Refusal::TooLate(wait))
}
