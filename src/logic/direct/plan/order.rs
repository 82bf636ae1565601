//! Orders to endpoints, and their results.

use std::sync::Arc;

use super::{form, retire};
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

/// Sends an order to an endpoint and remembers its purpose until the result comes.
pub(super) fn send(
    state: &mut DirectState,
    id: &InstanceId,
    what: GroupStep,
    purpose: OrderUse,
    out: &mut Vec<Effect>,
) {
    let Some(addr) = state.endpoints.get(id).map(|v| v.entry.addr) else {
        return;
    };
    let order = state.next_number();
    let fence = state.plan.lease.fence;
    state.plan.orders.insert(order, purpose);
    out.push(Effect::Direct(DirectEffect::Order {
        order,
        id: id.clone(),
        addr,
        body: GroupOrder { what, fence },
    }));
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
            state.plan.staging.remove(&id);
        }
        _ => {}
    }
}
