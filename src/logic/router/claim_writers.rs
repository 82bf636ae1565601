//! Which routers write the claims of all, so that the write rate doesn't grow with their number.

use std::hash::{DefaultHasher, Hash, Hasher};

use super::RouterState;
use crate::message::ClaimKey;
use crate::types::InstanceId;

/// Router to which a claim is forwarded; `None` if this router writes it.
///
/// This router writes it if it is the chosen writer, if the chosen one can't be reached, or if
/// every router writes its own claims.
///
/// All routers with the same instance list choose the same writer for a key. With different lists
/// two routers may write the same claim; its revision then decides.
pub(super) fn writer(state: &RouterState, key: &ClaimKey) -> Option<InstanceId> {
    let writers = writers(state);
    if writers.is_empty() {
        return None;
    }
    let chosen = &writers[(hash(key) % writers.len() as u64) as usize];
    let reached = state.peers.get(chosen).is_some_and(|p| p.connected);
    (*chosen != state.own_id && reached).then(|| chosen.clone())
}

/// Routers that write claims; empty if there are so few that each one writes its own.
pub(super) fn writers(state: &RouterState) -> Vec<InstanceId> {
    let listed = state.peers.iter().filter(|(_, p)| p.addr.is_some());
    let mut routers: Vec<_> = listed.map(|(id, _)| id).chain([&state.own_id]).collect();
    let count = state.params.claim_writers as usize;
    if routers.len() <= count {
        return Vec::new();
    }
    routers.sort_by_key(|id| (hash(id), (*id).clone()));
    routers.into_iter().take(count).cloned().collect()
}

fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
