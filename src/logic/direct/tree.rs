//! Which router passes a digest on to which others.
//!
//! All routers but the one that plans stand in an order that each of them works out from
//! the names it knows; the planner stands before them. Each passes on to the next
//! `FAN_OUT` behind it, so that nobody sends more however many there are. The order of
//! two routers never depends on who else is known, so a digest can't go in a circle.

use std::net::SocketAddr;

use sha2::{Digest as _, Sha256};

use super::DirectState;
use crate::types::InstanceId;

/// Routers that one router passes a digest on to. Three steps reach 584 routers; with 8
/// digests a second and two trees that is at most 130 datagrams a second.
const FAN_OUT: usize = 8;

/// Trees along which each digest goes, so that one lost router or datagram cuts few off.
pub(super) const TREES: u8 = 2;

/// Place of a router in a tree; the lowest is nearest to the root.
fn rank(root: &InstanceId, tree: u8, id: &InstanceId) -> [u8; 32] {
    let mut hash = Sha256::new();
    hash.update([tree]);
    hash.update(root.as_str());
    hash.update([0]);
    hash.update(id.as_str());
    hash.finalize().into()
}

/// Addresses of all routers in the order of a tree, the root first, and the own place.
/// The own address may be unknown here and is never asked for.
fn order(state: &DirectState, root: &InstanceId, tree: u8) -> (Vec<Option<SocketAddr>>, usize) {
    let others = state.peers.iter().map(|(id, addr)| (id, Some(*addr)));
    let all = others.chain([(&state.me, None)]);
    let mut ranked: Vec<_> = all
        .filter(|(id, _)| *id != root)
        .map(|(id, addr)| (rank(root, tree, id), addr, *id == state.me))
        .collect();
    ranked.sort_unstable();
    let place = ranked.iter().position(|(_, _, me)| *me);
    let first = [state.peers.get(root).copied()];
    let rest = ranked.into_iter().map(|(_, addr, _)| addr);
    (
        first.into_iter().chain(rest).collect(),
        place.map_or(0, |n| n + 1),
    )
}

/// Routers that this one passes on to in a tree.
pub(super) fn children(state: &DirectState, root: &InstanceId, tree: u8) -> Vec<SocketAddr> {
    let (order, place) = order(state, root, tree);
    let first = place * FAN_OUT + 1;
    let below = order.into_iter().skip(first).take(FAN_OUT);
    below.flatten().collect()
}

/// The router that this one reports to, on the way to the root; none where it is the
/// root or doesn't know where that is.
pub(super) fn parent(state: &DirectState, root: &InstanceId) -> Option<SocketAddr> {
    let (order, place) = order(state, root, 0);
    let above = place.checked_sub(1)? / FAN_OUT;
    order[above]
}
