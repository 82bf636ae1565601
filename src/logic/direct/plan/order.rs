//! Orders to endpoints, and their results.
//!
//! A pass queues its orders. They are sent with the next event, while the planner lease that
//! they were decided under still holds: a pass may take longer than the rest of the lease, and a
//! successor knows nothing of what is ordered after it. Only so many await their results at a time,
//! as each takes a connection, memory and processor time.
//!
//! An order without an answer may be carried out later, after newer ones. The fence of each order is
//! therefore higher than those of all earlier ones, so that its endpoint refuses the earlier ones from
//! then on. An endpoint has at most one order in progress, as orders that overtake each other would be
//! refused as well.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::{
    confirmation, departures, form, probe, scheduled, PlanState, QueuedOrder, SeatKey, SentOrder,
};
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

/// Time after which an order counts as no longer in progress even if no result came, which the link
/// reports after 0.6 s.
const PROGRESS_LIMIT_MS: Millis = 1_000;

/// Orders in a row without an answer after which an endpoint that is lost or not listed gets no more
/// until it answers a probe or is listed again: each takes a connection and 0.6 s.
const MAX_REPEATS: u32 = 3;

/// Queues an order to an endpoint, unless the same one is queued already or the endpoint is out of
/// reach.
pub(super) fn enqueue(
    state: &mut DirectState,
    id: &InstanceId,
    what: GroupStep,
    purpose: OrderUse,
) {
    if is_out_of_reach(state, id) {
        return;
    }
    let order = QueuedOrder {
        endpoint: id.clone(),
        what,
        lease: state.plan.lease.fence,
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
    let room = room(&state.plan);
    if room == 0 {
        return;
    }
    let mut queue = std::mem::take(&mut state.plan.order_queue);
    let busy = busy_endpoints(&state.plan, now);
    let mut chosen = BTreeSet::new();
    let due = queue.take(
        room,
        |queued| {
            let is_busy = busy.contains(&queued.endpoint) || chosen.contains(&queued.endpoint);
            if is_busy || !takes_orders(state, now, queued) {
                return false;
            }
            if !is_obsolete(state, queued) {
                chosen.insert(queued.endpoint.clone());
            }
            true
        },
        |queued| is_obsolete(state, queued),
    );
    state.plan.order_queue = queue;
    for queued in due {
        let Some(addr) = state.endpoints.get(&queued.endpoint).map(|v| v.entry.addr) else {
            continue;
        };
        let order = state.next_number();
        let fence = state.plan.lease.next_order_fence();
        let expected = confirmation::expected_orders(state, &queued.endpoint, &queued.what);
        let sent = SentOrder {
            endpoint: queued.endpoint.clone(),
            purpose: queued.purpose,
            expected,
            leaves: left_seat(&queued.what),
            sent_at: now,
        };
        state.plan.orders.insert(order, sent);
        let body = GroupOrder {
            what: queued.what,
            fence,
            expected,
        };
        out.push(Effect::Direct(DirectEffect::Order {
            order,
            id: queued.endpoint,
            addr,
            body,
        }));
    }
}

/// Number of orders that may be sent now.
fn room(plan: &PlanState) -> usize {
    let room = MAX_UNANSWERED.saturating_sub(plan.orders.len());
    room.min(plan.lease.orders_left() as usize)
}

/// Whether a queued order no longer has a purpose: it is of an earlier planner lease, of a group that
/// has opened, was given up or has ended since, or of a load that was called off.
fn is_obsolete(state: &DirectState, queued: &QueuedOrder) -> bool {
    let plan = &state.plan;
    let has_purpose = match &queued.purpose {
        OrderUse::Join(group) | OrderUse::Open(group) => plan.forming.contains_key(group),
        OrderUse::Close(group) | OrderUse::Leave(group) | OrderUse::Break(group, _) => {
            plan.ending.contains_key(group)
        }
        OrderUse::Stage(id) => plan.staging.contains_key(id),
        OrderUse::Free(_) => true,
    };
    !has_purpose
        || queued.lease != plan.lease.fence
        || !state.endpoints.contains_key(&queued.endpoint)
        || is_out_of_reach(state, &queued.endpoint)
}

/// Whether an endpoint gets no orders, as it is lost or not listed and hasn't answered the last ones.
pub(super) fn is_out_of_reach(state: &DirectState, id: &InstanceId) -> bool {
    let is_absent =
        state.plan.lost.contains_key(id) || state.endpoints.get(id).is_none_or(|view| !view.listed);
    let unanswered = state.plan.unanswered.get(id);
    is_absent && unanswered.is_some_and(|count| *count >= MAX_REPEATS)
}

/// Counts the orders in a row that an endpoint hasn't answered.
fn count_unanswered(
    state: &mut DirectState,
    id: &InstanceId,
    result: OrderResult,
    out: &mut Vec<Effect>,
) {
    if result != OrderResult::Unanswered {
        state.plan.unanswered.remove(id);
        return;
    }
    *state.plan.unanswered.entry(id.clone()).or_default() += 1;
    if !is_out_of_reach(state, id) {
        return;
    }
    let event = LogEvent::new(LogCode::OrdersStopped)
        .with("endpoint", id)
        .with("unanswered", state.plan.unanswered.get(id).unwrap_or(&0));
    out.push(Effect::Log(event));
}

/// Endpoints with an order in progress.
fn busy_endpoints(plan: &PlanState, now: Millis) -> BTreeSet<&InstanceId> {
    let sent = plan.orders.values();
    let in_progress = sent.filter(|o| now < o.sent_at + PROGRESS_LIMIT_MS);
    in_progress.map(|o| &o.endpoint).collect()
}

/// Requests an event for the queued orders that can be sent, if there is room for them.
pub(in crate::logic::direct) fn request_sending(
    state: &DirectState,
    now: Millis,
    out: &mut Vec<Effect>,
) {
    let plan = &state.plan;
    if plan.order_queue.is_empty() || room(plan) == 0 {
        return;
    }
    let busy = busy_endpoints(plan, now);
    let is_due = |o: &QueuedOrder| !busy.contains(&o.endpoint) && takes_orders(state, now, o);
    if plan.order_queue.iter().any(is_due) {
        out.push(Effect::Direct(DirectEffect::SendOrders));
    }
}

/// Whether the endpoint of an order doesn't hold off orders, and may join a group if it is to.
fn takes_orders(state: &DirectState, now: Millis, order: &QueuedOrder) -> bool {
    let view = state.endpoints.get(&order.endpoint);
    view.is_none_or(|v| hold_off::takes_calls(v, now))
        && confirmation::is_confirmed(state, &order.what)
}

/// Orders that wait to be sent or await their results.
pub(super) fn count_pending(state: &DirectState) -> usize {
    state.plan.orders.len() + state.plan.order_queue.len()
}

/// The seat that an order tells an endpoint to leave, if it does.
fn left_seat(what: &GroupStep) -> Option<SeatKey> {
    match what {
        GroupStep::Leave { group, epoch } => Some(SeatKey {
            group: group.clone(),
            epoch: *epoch,
        }),
        _ => None,
    }
}

/// Handles the result of an order.
pub(in crate::logic::direct) fn on_order_result(
    state: &mut DirectState,
    now: Millis,
    order: u64,
    result: OrderResult,
    out: &mut Vec<Effect>,
) {
    let Some(sent) = state.plan.orders.remove(&order) else {
        return;
    };
    let SentOrder {
        endpoint,
        purpose,
        expected,
        leaves,
        ..
    } = sent;
    count_unanswered(state, &endpoint, result, out);
    confirmation::on_order_result(state, &endpoint, expected, result);
    let labels = (purpose.name(), result.name());
    *state.plan.counts.entry(labels).or_default() += 1;
    let is_accepted = matches!(result, OrderResult::Begun | OrderResult::Done);
    if !is_accepted {
        let event = LogEvent::new(LogCode::OrderFailed)
            .with("order", format!("{purpose:?}"))
            .with("result", format!("{result:?}"));
        out.push(Effect::Log(event));
    }
    if result == OrderResult::Gone {
        probe::on_replaced(state, now, &endpoint, out);
    }
    if let Some(seat) = &leaves {
        departures::on_order_result(state, now, &endpoint, seat, result, out);
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
        OrderUse::Join(group) if result == OrderResult::Unfit && expected.is_some() => {
            form::repeat_join(state, &group, &endpoint);
        }
        OrderUse::Stage(id) if result == OrderResult::Unfit && expected.is_some() => {
            state.plan.staging.remove(&id);
        }
        OrderUse::Stage(id) if !is_accepted => {
            scheduled::on_order_failed(state, now, &id, result, out);
        }
        OrderUse::Stage(id) => {
            state.plan.load_pauses.remove(&id);
        }
        _ => {}
    }
}
