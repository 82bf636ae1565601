//! Admission of attempts, and the reasons for refusing them.

use super::{claims, estimate, full_queue, runs, AgentState, ClaimEntry, ClaimStatus, Job};
use crate::logic::Effect;
use crate::message::{Refusal, RunOrder};
use crate::types::{InstanceId, Millis};

/// Priority of a class that the agent's bundle doesn't have: the least urgent.
const LAST_PRIORITY: u8 = u8::MAX;

/// Admits or refuses an attempt.
pub(super) fn on_run_order(
    state: &mut AgentState,
    now: Millis,
    from: &InstanceId,
    order: RunOrder,
    out: &mut Vec<Effect>,
) {
    if let Some(last_order) = state.routers.get_mut(from) {
        *last_order = Some(now);
    }
    if runs::is_known(state, &order.run) {
        return;
    }
    if let Some(refusal) = refusal(state, now, &order) {
        if matches!(refusal, Refusal::Full(_)) && full_queue::is_full(state, &order) {
            full_queue::on_refusal(state, now, out);
        }
        claims::bar_refused(state, now, &order);
        runs::send_refusal(from, order.run, refusal, out);
        return;
    }
    let class = state.brief.class(&order.class);
    let job = Job {
        priority: class.map_or(LAST_PRIORITY, |c| c.priority),
        preempt: class.is_some_and(|c| c.preempt) && order.once.is_none(),
        deadline: now + order.left_ms,
        arrived_at: now,
        first_start: None,
        pieces: order.offset,
        text: order.prefix.clone(),
        watchers: vec![(from.clone(), order.run)],
        was_paused: false,
        order,
    };
    if let Some(once) = job.order.once {
        let entry = ClaimEntry {
            attempt: once.attempt,
            state: ClaimStatus::Active(job.order.run),
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
    let is_led = lead.record.id == order.group && lead.record.epoch == order.epoch;
    if state.rules.epoch_fence && !is_led {
        return Some(Refusal::Epoch);
    }
    if lead.is_draining() {
        return Some(Refusal::Draining);
    }
    (!state.is_open(now)).then_some(Refusal::Closed)
}

/// Refuses a request when the queue is full, or when it would have to wait and isn't expected to
/// end before its deadline.
fn load_refusal(state: &AgentState, order: &RunOrder) -> Option<Refusal> {
    let class = state.brief.class(&order.class);
    let priority = class.map_or(LAST_PRIORITY, |c| c.priority);
    let wait = estimate::expected_wait(state, priority);
    let is_long = state.queue.len() >= state.params.queue_limit as usize;
    if is_long || full_queue::is_full(state, order) {
        return Some(Refusal::Full(wait.max(1)));
    }
    let end = wait + estimate::mean_time(state, priority);
    (end >= order.left_ms && wait > 0).then_some(Refusal::TooLate(wait))
}
