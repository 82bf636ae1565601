//! Orders to endpoints and what came of them.

use std::sync::Arc;

use super::{form, retire};
use crate::logic::direct::{DirectEffect, DirectState, GroupOrder, GroupStep, OrderResult};
use crate::logic::{Effect, Note, NoteCode};
use crate::types::{InstanceId, Millis};

/// What an order was given for.
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
    /// A member leaves this group, so that its head breaks.
    Break(Arc<str>, InstanceId),
    /// This endpoint leaves a group that is over.
    Free(InstanceId),
    /// This endpoint loads a model to its host.
    Stage(InstanceId),
}

impl OrderUse {
    /// Its name in the metrics.
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

/// Gives an order to an endpoint.
pub(super) fn give(
    state: &mut DirectState,
    id: &InstanceId,
    what: GroupStep,
    used: OrderUse,
    out: &mut Vec<Effect>,
) {
    let Some(addr) = state.endpoints.get(id).map(|v| v.entry.addr) else {
        return;
    };
    let order = state.number();
    let fence = state.plan.duty.fence;
    state.plan.orders.insert(order, used);
    out.push(Effect::Direct(DirectEffect::Order {
        order,
        id: id.clone(),
        addr,
        body: GroupOrder { what, fence },
    }));
}

/// Whether an order to leave shows that its group is over for the endpoint. One
/// that is outdated shows only that another planner gives orders now.
fn left(result: OrderResult) -> bool {
    !matches!(result, OrderResult::Unanswered | OrderResult::Outdated)
}

/// An order has ended.
pub(in crate::logic::direct) fn ordered(
    state: &mut DirectState,
    now: Millis,
    order: u64,
    result: OrderResult,
    out: &mut Vec<Effect>,
) {
    let Some(used) = state.plan.orders.remove(&order) else {
        return;
    };
    let counted = (used.name(), result.name());
    *state.plan.counts.entry(counted).or_default() += 1;
    let taken = matches!(result, OrderResult::Begun | OrderResult::Done);
    if !taken {
        let note = Note::new(NoteCode::OrderFailed)
            .with("order", format!("{used:?}"))
            .with("result", format!("{result:?}"));
        out.push(Effect::Note(note));
    }
    match used {
        OrderUse::Join(group) if result == OrderResult::Outdated || result == OrderResult::Gone => {
            if let Some(forming) = state.plan.forming.remove(&group) {
                form::give_up(state, now, &group, &forming, "a member refuses", out);
            }
        }
        OrderUse::Break(group, _) if left(result) => retire::broken_off(state, now, &group),
        OrderUse::Leave(group) if left(result) => retire::over(state, group),
        OrderUse::Stage(id) if !taken => {
            state.plan.staging.remove(&id);
        }
        _ => {}
    }
}
