//! How old the routing in force may be.
//!
//! A route or a key that isn't in the routing may be in a newer one. So a request is refused for it only
//! while the routing is known to be the newest.

use super::{digests, finish, DirectRequest, DirectState, Refusal};
use crate::logic::Effect;
use crate::types::Millis;

/// Time beyond the longest one for which the store holds a watch without changes: that of the call and of
/// the digest which tells of it.
const MARGIN_MS: Millis = 500;

/// When the routing in force was last known to be the newest, by this router's own reading or by the
/// planner's.
pub(super) fn checked_at(state: &DirectState) -> Millis {
    let told_at = state
        .digests
        .routing_until
        .saturating_sub(digests::VALID_MS);
    state.digests.routing_at.max(told_at)
}

/// Whether the routing in force is known to be the newest.
fn is_current(state: &DirectState, now: Millis) -> bool {
    let Some(routing) = &state.routing else {
        return false;
    };
    let max_age = state.params.routing_ms + MARGIN_MS;
    routing.version >= state.digests.planner_version && now <= checked_at(state) + max_age
}

/// Refuses a request for what the routing says of it, or asks its caller to come back if there may be a
/// newer routing.
pub(super) fn refuse(
    state: &mut DirectState,
    now: Millis,
    request: &DirectRequest,
    mut refusal: Refusal,
    out: &mut Vec<Effect>,
) {
    if !is_current(state, now) {
        refusal.problem = finish::not_yet_problem(state, request.wait_ms);
    }
    let version = state.routing.as_ref().map_or(0, |r| r.version);
    let age = now.saturating_sub(checked_at(state));
    let refusal = refusal.with("version", version).with("routing_age", age);
    finish::refuse(request, refusal, out);
}
