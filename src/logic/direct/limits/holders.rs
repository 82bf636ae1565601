//! Shares of the requests that an endpoint takes from all routers together.
//!
//! A few routers, the holders, have equal shares; the others send nothing there. Holders are
//! chosen by a hash, so that all routers agree on them without a message.

use sha2::{Digest as _, Sha256};

use super::PacedShare;
use crate::logic::direct::{peers, DirectState};
use crate::types::{InstanceId, Millis, RequestRate};

/// Longest gap between two requests of a holder, so that the end of even a very low limit
/// is noticed.
pub(super) const MAX_GAP_MS: Millis = 10_000;

/// This router's share of a rate at an endpoint, with at most so many holders. The first request
/// comes after a random part of the gap, so that holders which begin together don't send together.
pub(super) fn new_share(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    rate: RequestRate,
    max_holders: u64,
) -> PacedShare {
    let gap = request_gap(state, id, rate, max_holders);
    let jitter = state.random_below(gap.unwrap_or(0));
    PacedShare {
        gap,
        next_at: now + jitter,
        routers_seen: routers_seen(state),
    }
}

/// Computes the gap of a share again if the known routers have changed since.
pub(super) fn update_share(
    state: &DirectState,
    id: &InstanceId,
    rate: RequestRate,
    max_holders: u64,
    share: &mut PacedShare,
) {
    let seen = routers_seen(state);
    if share.routers_seen != seen {
        share.routers_seen = seen;
        share.gap = request_gap(state, id, rate, max_holders);
    }
}

/// What a gap depends on beside the endpoint: the number of changes of the other routers so far, and
/// the most routers known at a time lately.
fn routers_seen(state: &DirectState) -> (u64, u64) {
    (state.peer_changes, state.router_peak.highest())
}

/// Time between two requests of this router to an endpoint; none if this router holds no share, or
/// doesn't know the other routers yet.
fn request_gap(
    state: &DirectState,
    id: &InstanceId,
    rate: RequestRate,
    max_holders: u64,
) -> Option<Millis> {
    if !peers::are_known(state) {
        return None;
    }
    let routers = state
        .router_peak
        .highest()
        .max(state.peers.len() as u64 + 1);
    let holders = max_holders.min(routers);
    let own = holder_rank(id, &state.own_id);
    let before = state
        .peers
        .keys()
        .filter(|peer| holder_rank(id, peer) < own);
    if before.count() as u64 >= holders {
        return None;
    }
    let gap = (holders * 1_000_000).checked_div(rate.milli());
    Some(gap.map_or(MAX_GAP_MS, |gap| gap.min(MAX_GAP_MS)))
}

/// Rank of a router for an endpoint; the routers with the lowest hashes hold its shares.
fn holder_rank(id: &InstanceId, router: &InstanceId) -> [u8; 32] {
    let mut hash = Sha256::new();
    hash.update(id.as_str());
    hash.update([0]);
    hash.update(router.as_str());
    hash.finalize().into()
}
