//! Endpoints that are leaving by their own announcement.
//!
//! An endpoint that is about to stop says so in its answers, often before the list does and also
//! while the store can't be reached. The announcement holds for the rest of the process, whatever
//! the list says. The planner is told, so that a group with such a member ends in order, and it
//! tells the other routers by its digests.

use super::admission::queue;
use super::{digests, peers, plan, DirectState, EndpointUpdate, PeerMessage};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::{InstanceId, Millis};

/// Handles an answer by which an endpoint says that it is leaving.
pub(super) fn on_announced(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    out: &mut Vec<Effect>,
) {
    if !mark_leaving(state, now, id, "an answer", out) {
        return;
    }
    let Some(view) = state.endpoints.get(id) else {
        return;
    };
    // The answer is of the former process if the entry that shows the restart is another writer's.
    let former = view.named_before.as_ref().map(|n| n.former);
    let born = view.entry.born;
    for born in former.into_iter().chain([born]) {
        let id = id.clone();
        peers::notify_planner(state, PeerMessage::Leaving { id, born }, out);
    }
}

/// Handles another router's word that the process of an endpoint that started at `born` is leaving.
pub(super) fn on_peer_leaving(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    born: Option<u64>,
    out: &mut Vec<Effect>,
) {
    let Some(view) = state.endpoints.get_mut(id) else {
        return;
    };
    let former = view.named_before.as_mut().filter(|n| n.former == born);
    if view.entry.born == born {
        mark_leaving(state, now, id, "another router", out);
    } else if let Some(former) = former {
        former.leaving = !view.leaving || former.leaving;
        view.leaving = true;
    }
}

/// Marks an endpoint as leaving, and says so to whom it concerns; false if that was known already.
fn mark_leaving(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    by: &'static str,
    out: &mut Vec<Effect>,
) -> bool {
    let Some(view) = state.endpoints.get_mut(id) else {
        return false;
    };
    let named = view.named_before.as_mut();
    let was_of_former = named.is_some_and(|n| std::mem::take(&mut n.leaving));
    let was_known = view.is_leaving() && !was_of_former;
    view.leaving = true;
    if was_known {
        return false;
    }
    let born = view.entry.born;
    let event = LogEvent::new(LogCode::EndpointLeaving)
        .with("endpoint", id)
        .with("by", by);
    out.push(Effect::Log(event));
    let id = id.clone();
    digests::send_update(state, now, EndpointUpdate::Leaving { id, born });
    plan::request_pass(state, now);
    queue::refuse_unservable(state, now, out);
    true
}
