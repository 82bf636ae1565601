//! Which routers write claims for all, so that writes don't grow with the routers.

use std::hash::{DefaultHasher, Hash, Hasher};

use super::RouterState;
use crate::message::ClaimKey;
use crate::types::InstanceId;

/// Router that shall write a claim; `None` for this one, or where it can't be reached.
///
/// The same key meets the same writer as long as routers see the same list;
/// where they don't, the claim's revision still decides.
pub(super) fn writer(state: &RouterState, key: &ClaimKey) -> Option<InstanceId> {
    let writers = writers(state);
    if writers.is_empty() {
        return None;
    }
    let chosen = &writers[(hash(key) % writers.len() as u64) as usize];
    let reached = state.peers.get(chosen).is_some_and(|p| p.up);
    (*chosen != state.me && reached).then(|| chosen.clone())
}

/// The writers; empty while every router writes its own claims.
pub(super) fn writers(state: &RouterState) -> Vec<InstanceId> {
    let listed = state.peers.iter().filter(|(_, p)| p.addr.is_some());
    let mut routers: Vec<_> = listed.map(|(id, _)| id).chain([&state.me]).collect();
    let count = state.knobs.claim_writers as usize;
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
