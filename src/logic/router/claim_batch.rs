use super::{Check, Keys, Purpose, Put, StoreCall};
use super::{ClaimRecord, RouterState};
use crate::logic::Effect;
use crate::message::ClaimKey;
use crate::types::{Millis, RequestId};

/// Batches of claims under way at once.
const FLYING_LIMIT: usize = 4;

/// One claim to write.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimWrite {
    /// Request that wants it.
    pub request: RequestId,
    /// Its key.
    pub key: ClaimKey,
    /// Revision that the claim must have; 0 for none.
    pub revision: i64,
    /// The claim.
    pub record: ClaimRecord,
}

/// Claims that wait for the next write, and the lease they are attached to.
///
/// One write carries up to [`RouterKnobs::claim_batch`](super::RouterKnobs)
/// claims. A lease is shared by all claims of an eighth of their life.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ClaimBatch {
    /// Claims that wait.
    pub waiting: Vec<ClaimWrite>,
    /// When they are written.
    pub due: Millis,
    /// Lease for new claims.
    pub lease: Option<i64>,
    /// When the lease was asked for.
    pub leased_at: Millis,
}

/// Adds a claim to the next write.
pub(super) fn add(state: &mut RouterState, now: Millis, write: ClaimWrite) {
    if state.claims.waiting.is_empty() {
        state.claims.due = now + state.knobs.claim_ms;
    }
    state.claims.waiting.push(write);
}

/// Writes what is due and renews the lease.
pub(super) fn tend(state: &mut RouterState, now: Millis, out: &mut Vec<Effect>) {
    renew_lease(state, now, out);
    let full = state.claims.waiting.len() >= state.knobs.claim_batch as usize;
    let due = !state.claims.waiting.is_empty() && (full || now >= state.claims.due);
    let flying = state.calls.values();
    let flying = flying.filter(|p| matches!(p, Purpose::Claims(_))).count();
    if !due || flying >= FLYING_LIMIT {
        return;
    }
    let Some(lease) = state.claims.lease else {
        return;
    };
    let writes = next_writes(state);
    let op = swap(&writes, lease);
    state.call(Purpose::Claims(writes), op, out);
}

/// Takes writes for one swap; a key may stand in it only once.
fn next_writes(state: &mut RouterState) -> Vec<ClaimWrite> {
    let limit = state.knobs.claim_batch as usize;
    let mut taken: Vec<ClaimWrite> = Vec::new();
    let mut left = Vec::new();
    for write in std::mem::take(&mut state.claims.waiting) {
        let twice = taken.iter().any(|t| t.key == write.key);
        if twice || taken.len() >= limit {
            left.push(write);
        } else {
            taken.push(write);
        }
    }
    state.claims.waiting = left;
    taken
}

fn swap(writes: &[ClaimWrite], lease: i64) -> StoreCall {
    let checks = writes.iter().map(|w| Check {
        key: Keys::claim(&w.key),
        revision: w.revision,
    });
    let puts = writes.iter().map(|w| Put {
        key: Keys::claim(&w.key),
        value: serde_json::to_string(&w.record).unwrap_or_default(),
        lease: Some(lease),
    });
    StoreCall::Swap {
        checks: checks.collect(),
        puts: puts.collect(),
        deletes: Vec::new(),
        reads: writes.iter().map(|w| Keys::claim(&w.key)).collect(),
    }
}

fn renew_lease(state: &mut RouterState, now: Millis, out: &mut Vec<Effect>) {
    let keep = state.knobs.claim_keep_ms;
    let young = state.claims.lease.is_some() && now < state.claims.leased_at + keep / 8;
    if young || state.calling(|p| matches!(p, Purpose::ClaimLease(_))) {
        return;
    }
    // Claims written last under this lease still live for the whole time.
    let ttl_s = (keep + keep / 4) / 1_000;
    let op = StoreCall::Grant {
        ttl_s: ttl_s.max(1),
    };
    state.call(Purpose::ClaimLease(now), op, out);
}
