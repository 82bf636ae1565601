//! Orders to endpoints, and their results.
//!
//! A pass queues its orders. They are sent with the next event, while the planner lease that
//! they were decided under still holds: a pass may take longer than the rest of the lease, and a
//! successor knows nothing of what is ordered after it. Only so many await their results at a time,
//! as each takes a connection, memory and processor time.

use std::sync::Arc;

use super::{form, retire, scheduled, QueuedOrder};
use crate::logic::direct::limits::hold_off;
use crate::logic::direct::{DirectEffect, DirectState, GroupOrder, GroupStep, OrderResult};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::{InstanceId, Millis};

/// The purpose of an order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OrderUse {
    /// A member joins this group.
    Join(Arc<str>),
    /// This group opens.
    Open(Arc<str>),
    /// This group closes.
    Close(Arc<str>),
    /// The head leaves this group.
    Leave(Arc<str>),
    /// A member leaves this group, so that the head, which can't be reached, breaks.
    Break(Arc<str>, InstanceId),
    /// This endpoint leaves a group that has ended.
    Free(InstanceId),
    /// This endpoint loads a model to its host.
    Stage(InstanceId),
}

impl OrderUse {
    /// Label in the metrics.
    fn name(&self) -> &'static str {
        match self {
            OrderUse::Join(_) => "join",
            OrderUse::Open(_) => "open",
            OrderUse::Close(_) => "close",
            OrderUse::Leave(_) => "leave",
            OrderUse::Break(..) => "break",
            OrderUse::Free(_) => "free",
            OrderUse::Stage(_) => "stage",
        }
    }
}

/// Orders that may await their results at a time. At the 0.6 s that an unanswered one takes, 200 a
/// second are sent even if no endpoint answers.
const MAX_UNANSWERED: usize = 128;

/// Queues an order to an endpoint, unless the same one is queued already.
pub(super) fn enqueue(
    state: &mut DirectState,
    id: &InstanceId,
    what: GroupStep,
    purpose: OrderUse,
) {
    let order = QueuedOrder {
        endpoint: id.clone(),
        body: GroupOrder {
            what,
            fence: state.plan.lease.fence,
        },
        purpose,
    };
    state.plan.order_queue.push(order);
}

/// Sends queued orders as far as there is room, while the lease that they were decided under holds,
/// and drops them afterwards.
pub(in crate::logic::direct) fn send_queued(
    state: &mut DirectState,
    now: Millis,
    out: &mut Vec<Effect>,
) {
    if state.plan.order_queue.is_empty() {
        return;
    }
    if !state.plan.lease.holds(now) {
        let event = LogEvent::new(LogCode::OrdersDropped)
            .with("orders", state.plan.order_queue.len())
            .with("fence", state.plan.lease.fence);
        out.push(Effect::Log(event));
        state.plan.order_queue.clear();
        return;
    }
    let mut held = Vec::new();
    while state.plan.orders.len() < MAX_UNANSWERED {
        let Some(queued) = state.plan.order_queue.pop() else {
            break;
        };
        if !takes_orders(state, now, &queued) {
            held.push(queued);
            continue;
        }
        let view = state.endpoints.get(&queued.endpoint);
        let addr = view.filter(|_| queued.body.fence == state.plan.lease.fence);
        let Some(addr) = addr.map(|v| v.entry.addr) else {
            continue;
        };
        let order = state.next_number();
        state.plan.orders.insert(order, queued.purpose);
        out.push(Effect::Direct(DirectEffect::Order {
            order,
            id: queued.endpoint,
            addr,
            body: queued.body,
        }));
    }
    for queued in held {
        state.plan.order_queue.push(queued);
    }
}

/// Requests an event for the queued orders that can be sent, if there is room for them.
pub(in crate::logic::direct) fn request_sending(
    state: &DirectState,
    now: Millis,
    out: &mut Vec<Effect>,
) {
    let plan = &state.plan;
    let mut queued = plan.order_queue.iter();
    if plan.orders.len() < MAX_UNANSWERED && queued.any(|o| takes_orders(state, now, o)) {
        out.push(Effect::Direct(DirectEffect::SendOrders));
    }
}

/// Whether the endpoint of an order doesn't hold off orders.
fn takes_orders(state: &DirectState, now: Millis, order: &QueuedOrder) -> bool {
    let view = state.endpoints.get(&order.endpoint);
    view.is_none_or(|v| hold_off::takes_calls(v, now))
}

/// Orders that wait to be sent or await their results.
pub(super) fn count_pending(state: &DirectState) -> usize {
    state.plan.orders.len() + state.plan.order_queue.len()
}

/// Whether the result of an order to leave shows that the endpoint has no seat in the group
/// any more. An outdated order shows only that another planner gives orders now.
fn has_left(result: OrderResult) -> bool {
    !matches!(result, OrderResult::Unanswered | OrderResult::Outdated)
}

/// Handles the result of an order.
pub(in crate::logic::direct) fn on_order_result(
    state: &mut DirectState,
    now: Millis,
    order: u64,
    result: OrderResult,
    out: &mut Vec<Effect>,
) {
    let Some(purpose) = state.plan.orders.remove(&order) else {
        return;
    };
    let labels = (purpose.name(), result.name());
    *state.plan.counts.entry(labels).or_default() += 1;
    let is_accepted = matches!(result, OrderResult::Begun | OrderResult::Done);
    if !is_accepted {
        let event = LogEvent::new(LogCode::OrderFailed)
            .with("order", format!("{purpose:?}"))
            .with("result", format!("{result:?}"));
        out.push(Effect::Log(event));
    }
    match purpose {
        OrderUse::Join(group) if result == OrderResult::Outdated || result == OrderResult::Gone => {
            if let Some(forming) = state.plan.forming.remove(&group) {
                form::give_up(
                    state,
                    now,
                    &group,
                    &forming,
                    "a member refused to join or is gone",
                    out,
                );
            }
        }
        OrderUse::Break(group, _) if has_left(result) => retire::on_member_left(state, now, &group),
        OrderUse::Leave(group) if has_left(result) => retire::on_head_left(state, group),
        OrderUse::Stage(id) if !is_accepted => {
            scheduled::on_order_failed(state, now, &id, result, out);
        }
        OrderUse::Stage(id) => {
            state.plan.load_pauses.remove(&id);
        }
        _ => {}
    }
}
