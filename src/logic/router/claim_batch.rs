use super::{claim_writers, CallPurpose, KeyWrite, Keys, RevisionCheck, RouterState, StoreCall};
use crate::logic::Effect;
use crate::message::{ClaimWrite, Message};
use crate::types::{InstanceId, Millis};

/// Batch writes that may be in flight at once.
const MAX_BATCHES_IN_FLIGHT: usize = 4;
/// Time after which a forwarded claim without a reply is written by this router.
const FORWARD_TIMEOUT_MS: Millis = 1_000;

/// Ratio of the time an agent remembers a key to `claim_keep_ms`.
///
/// An agent that had forgotten a key whose claim still exists would report that the request never
/// ran. A claim lives up to 1.25 times `claim_keep_ms`; the rest is for a service that extends
/// leases when it restarts.
const RETENTION_FACTOR: Millis = 4;

/// How long an agent has to remember a key, in milliseconds.
pub(super) fn retention_ms(state: &RouterState) -> Millis {
    state.params.claim_keep_ms * RETENTION_FACTOR
}

/// A claim that is queued for the next batch write.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QueuedClaim {
    /// The claim.
    pub write: ClaimWrite,
    /// Router that forwarded it; absent for a claim of this router.
    pub forwarded_by: Option<InstanceId>,
}

/// A claim that was forwarded to another router to be written.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ForwardedClaim {
    /// The claim.
    pub write: ClaimWrite,
    /// When it is queued here if no reply has come.
    pub until: Millis,
}

/// Claims queued for the next batch write, and the lease that they are attached to.
///
/// One write carries up to [`RouterParams::claim_batch`](super::RouterParams)
/// claims. All claims written within an eighth of `claim_keep_ms` share a lease. In a
/// fleet of many routers a few write the claims of all, so that the rate of writes
/// doesn't grow with the number of routers; nothing else depends on which router writes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ClaimBatch {
    /// Queued claims.
    pub queued: Vec<QueuedClaim>,
    /// Claims forwarded to other routers.
    pub forwarded: Vec<ForwardedClaim>,
    /// When the queued claims are due to be written; earlier if a batch is full.
    pub write_at: Millis,
    /// Lease for new claims.
    pub lease: Option<i64>,
    /// When the lease was requested.
    pub leased_at: Millis,
}

/// Queues a claim of this router, or forwards it to the router that writes it.
pub(super) fn add(state: &mut RouterState, now: Millis, write: ClaimWrite, out: &mut Vec<Effect>) {
    match claim_writers::writer(state, &write.key) {
        Some(writer) => {
            let until = now + FORWARD_TIMEOUT_MS;
            state.claims.forwarded.push(ForwardedClaim {
                write: write.clone(),
                until,
            });
            out.push(Effect::Send {
                to: writer,
                message: Message::ClaimAsk(vec![write]),
            });
        }
        None => enqueue(state, now, write, None),
    }
}

/// Queues the claims that another router has forwarded.
pub(super) fn add_forwarded(
    state: &mut RouterState,
    now: Millis,
    from: &InstanceId,
    writes: Vec<ClaimWrite>,
) {
    for write in writes {
        enqueue(state, now, write, Some(from.clone()));
    }
}

/// Queues a claim; `forwarded_by` is the router that forwarded it, if any.
fn enqueue(
    state: &mut RouterState,
    now: Millis,
    write: ClaimWrite,
    forwarded_by: Option<InstanceId>,
) {
    if state.claims.queued.is_empty() {
        state.claims.write_at = now + state.params.claim_ms;
    }
    state.claims.queued.push(QueuedClaim {
        write,
        forwarded_by,
    });
}

/// Removes a claim from the forwarded ones; returns whether it was among them.
pub(super) fn remove_forwarded(state: &mut RouterState, write: &ClaimWrite) -> bool {
    let before = state.claims.forwarded.len();
    state.claims.forwarded.retain(|a| &a.write != write);
    state.claims.forwarded.len() < before
}

/// Renews the lease, queues overdue forwarded claims and writes a batch if it is due.
pub(super) fn on_tick(state: &mut RouterState, now: Millis, out: &mut Vec<Effect>) {
    renew_lease(state, now, out);
    requeue_overdue(state, now);
    let full = state.claims.queued.len() >= state.params.claim_batch as usize;
    let due = !state.claims.queued.is_empty() && (full || now >= state.claims.write_at);
    let in_flight = state.calls.values();
    let in_flight = in_flight
        .filter(|p| matches!(p, CallPurpose::Claims(_)))
        .count();
    if !due || in_flight >= MAX_BATCHES_IN_FLIGHT {
        return;
    }
    let Some(lease) = state.claims.lease else {
        return;
    };
    let writes = take_batch(state);
    let op = batch_swap(&writes, lease);
    state.call_store(CallPurpose::Claims(writes), op, out);
}

/// Queues forwarded claims for which no reply has come in time.
fn requeue_overdue(state: &mut RouterState, now: Millis) {
    let forwarded = std::mem::take(&mut state.claims.forwarded);
    let (late, rest) = forwarded.into_iter().partition(|a| now >= a.until);
    state.claims.forwarded = rest;
    let late: Vec<ForwardedClaim> = late;
    for claim in late {
        enqueue(state, now, claim.write, None);
    }
}

/// Takes the claims of the next batch from the queue; a key may occur in it only once.
fn take_batch(state: &mut RouterState) -> Vec<QueuedClaim> {
    let limit = state.params.claim_batch as usize;
    let mut taken: Vec<QueuedClaim> = Vec::new();
    let mut left = Vec::new();
    for claim in std::mem::take(&mut state.claims.queued) {
        let duplicate = taken.iter().any(|t| t.write.key == claim.write.key);
        if duplicate || taken.len() >= limit {
            left.push(claim);
        } else {
            taken.push(claim);
        }
    }
    state.claims.queued = left;
    taken
}

/// The call that writes a batch: either all of its claims, or none and then it reads the keys as
/// they stand.
fn batch_swap(claims: &[QueuedClaim], lease: i64) -> StoreCall {
    let writes = claims.iter().map(|c| &c.write);
    let checks = writes.clone().map(|w| RevisionCheck {
        key: Keys::claim(&w.key),
        revision: w.revision,
    });
    let puts = writes.clone().map(|w| KeyWrite {
        key: Keys::claim(&w.key),
        value: serde_json::to_string(&w.record).unwrap_or_default(),
        lease: Some(lease),
    });
    StoreCall::Transaction {
        checks: checks.collect(),
        puts: puts.collect(),
        deletes: Vec::new(),
        reads: writes.map(|w| Keys::claim(&w.key)).collect(),
    }
}

/// Requests a new lease once the present one is an eighth of `claim_keep_ms` old.
fn renew_lease(state: &mut RouterState, now: Millis, out: &mut Vec<Effect>) {
    let keep = state.params.claim_keep_ms;
    let fresh = state.claims.lease.is_some() && now < state.claims.leased_at + keep / 8;
    if fresh || state.has_call(|p| matches!(p, CallPurpose::ClaimLease(_))) {
        return;
    }
    // A quarter longer than `claim_keep_ms`, so that claims written last under this lease are kept
    // for the whole time.
    let ttl_s = (keep + keep / 4) / 1_000;
    let op = StoreCall::Grant {
        ttl_s: ttl_s.max(1),
    };
    state.call_store(CallPurpose::ClaimLease(now), op, out);
}
