//! The trees along which routers forward digests and report their demand.
//!
//! Each router sorts all routers that it knows by a hash of the tree, the root and their ids, with
//! the planner first as the root. The children of the router at index `n` are the `FAN_OUT` ones
//! from index `n * FAN_OUT + 1` on, so that no router sends more however many there are. The order
//! of two routers doesn't depend on which others are known, so a digest can't go in a circle.

use std::net::SocketAddr;

use sha2::{Digest as _, Sha256};

use super::DirectState;
use crate::types::InstanceId;

/// Children of a router in a tree. Three steps reach 584 routers; with 8 digests a second and
/// two trees a router sends at most 130 datagrams a second.
const FAN_OUT: usize = 8;

/// Number of trees along which each digest is sent, so that a failed router or a lost datagram
/// cuts off few routers.
pub(super) const TREES: u8 = 2;

/// Sort key of a router in a tree; the lowest is nearest to the root.
fn rank(root: &InstanceId, tree: u8, id: &InstanceId) -> [u8; 32] {
    let mut hash = Sha256::new();
    hash.update([tree]);
    hash.update(root.as_str());
    hash.update([0]);
    hash.update(id.as_str());
    hash.finalize().into()
}

/// Addresses of all routers in the order of a tree, the root first, and this router's index.
/// Its own address is left empty, as it is never needed.
fn order(state: &DirectState, root: &InstanceId, tree: u8) -> (Vec<Option<SocketAddr>>, usize) {
    let others = state.peers.iter().map(|(id, addr)| (id, Some(*addr)));
    let all = others.chain([(&state.own_id, None)]);
    let mut ranked: Vec<_> = all
        .filter(|(id, _)| *id != root)
        .map(|(id, addr)| (rank(root, tree, id), addr, *id == state.own_id))
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

/// Addresses of this router's children in a tree.
pub(super) fn children(state: &DirectState, root: &InstanceId, tree: u8) -> Vec<SocketAddr> {
    let (order, place) = order(state, root, tree);
    let first = place * FAN_OUT + 1;
    let below = order.into_iter().skip(first).take(FAN_OUT);
    below.flatten().collect()
}

/// Address of this router's parent in the first tree; none if it is the root itself or the
/// parent's address is unknown.
pub(super) fn parent(state: &DirectState, root: &InstanceId) -> Option<SocketAddr> {
    let (order, place) = order(state, root, 0);
    let above = place.checked_sub(1)? / FAN_OUT;
    order[above]
}
