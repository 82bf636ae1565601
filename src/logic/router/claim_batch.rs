use super::{claim_writers, Check, Keys, Purpose, Put, RouterState, StoreCall};
use crate::logic::Effect;
use crate::message::{ClaimWrite, Message};
use crate::types::{InstanceId, Millis};

/// Batches of claims under way at once.
const MAX_BATCHES_IN_FLIGHT: usize = 4;
/// Time after which a claim that another router was to write is written here.
const FORWARD_TIMEOUT_MS: Millis = 1_000;

/// How much longer an agent remembers a key than its claim is meant to live.
///
/// An agent that had forgotten a key whose claim still stood would say that it
/// never ran. A claim lives up to 1.25 times `claim_keep_ms`; the rest is for a
/// service that lengthens leases when it restarts.
const RETENTION_FACTOR: Millis = 4;

/// How long an agent has to remember a key.
pub(super) fn retention_ms(state: &RouterState) -> Millis {
    state.knobs.claim_keep_ms * RETENTION_FACTOR
}

/// A claim that waits for the next write.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct WaitingClaim {
    /// The claim.
    pub write: ClaimWrite,
    /// Router that asked for it; absent for an own one.
    pub guest: Option<InstanceId>,
}

/// A claim that another router was asked to write.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AwayClaim {
    /// The claim.
    pub write: ClaimWrite,
    /// When it is written here instead.
    pub until: Millis,
}

/// Claims that wait for the next write, and the lease they are attached to.
///
/// One write carries up to [`RouterKnobs::claim_batch`](super::RouterKnobs)
/// claims. A lease is shared by all claims of an eighth of their life. In a
/// fleet of many routers a few write for all, so that the rate of writes
/// doesn't grow with the routers; who writes decides nothing else.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ClaimBatch {
    /// Claims that wait.
    pub waiting: Vec<WaitingClaim>,
    /// Claims that other routers write.
    pub away: Vec<AwayClaim>,
    /// When the waiting ones are written.
    pub due: Millis,
    /// Lease for new claims.
    pub lease: Option<i64>,
    /// When the lease was asked for.
    pub leased_at: Millis,
}

/// Adds an own claim: to the next write, or to that of the router that writes it.
pub(super) fn add(state: &mut RouterState, now: Millis, write: ClaimWrite, out: &mut Vec<Effect>) {
    match claim_writers::writer(state, &write.key) {
        Some(writer) => {
            let until = now + FORWARD_TIMEOUT_MS;
            state.claims.away.push(AwayClaim {
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

/// Adds the claims of another router to the next write.
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

fn enqueue(state: &mut RouterState, now: Millis, write: ClaimWrite, guest: Option<InstanceId>) {
    if state.claims.waiting.is_empty() {
        state.claims.due = now + state.knobs.claim_ms;
    }
    state.claims.waiting.push(WaitingClaim { write, guest });
}

/// Takes a claim off the list of those that another router writes.
pub(super) fn remove_forwarded(state: &mut RouterState, write: &ClaimWrite) -> bool {
    let before = state.claims.away.len();
    state.claims.away.retain(|a| &a.write != write);
    state.claims.away.len() < before
}

/// Writes what is due and renews the lease.
pub(super) fn on_tick(state: &mut RouterState, now: Millis, out: &mut Vec<Effect>) {
    renew_lease(state, now, out);
    requeue_overdue(state, now);
    let full = state.claims.waiting.len() >= state.knobs.claim_batch as usize;
    let due = !state.claims.waiting.is_empty() && (full || now >= state.claims.due);
    let flying = state.calls.values();
    let flying = flying.filter(|p| matches!(p, Purpose::Claims(_))).count();
    if !due || flying >= MAX_BATCHES_IN_FLIGHT {
        return;
    }
    let Some(lease) = state.claims.lease else {
        return;
    };
    let writes = take_batch(state);
    let op = batch_swap(&writes, lease);
    state.call(Purpose::Claims(writes), op, out);
}

/// Writes here what another router hasn't answered in time.
fn requeue_overdue(state: &mut RouterState, now: Millis) {
    let away = std::mem::take(&mut state.claims.away);
    let (late, rest) = away.into_iter().partition(|a| now >= a.until);
    state.claims.away = rest;
    let late: Vec<AwayClaim> = late;
    for claim in late {
        enqueue(state, now, claim.write, None);
    }
}

/// Takes writes for one swap; a key may stand in it only once.
fn take_batch(state: &mut RouterState) -> Vec<WaitingClaim> {
    let limit = state.knobs.claim_batch as usize;
    let mut taken: Vec<WaitingClaim> = Vec::new();
    let mut left = Vec::new();
    for claim in std::mem::take(&mut state.claims.waiting) {
        let twice = taken.iter().any(|t| t.write.key == claim.write.key);
        if twice || taken.len() >= limit {
            left.push(claim);
        } else {
            taken.push(claim);
        }
    }
    state.claims.waiting = left;
    taken
}

fn batch_swap(claims: &[WaitingClaim], lease: i64) -> StoreCall {
    let writes = claims.iter().map(|c| &c.write);
    let checks = writes.clone().map(|w| Check {
        key: Keys::claim(&w.key),
        revision: w.revision,
    });
    let puts = writes.clone().map(|w| Put {
        key: Keys::claim(&w.key),
        value: serde_json::to_string(&w.record).unwrap_or_default(),
        lease: Some(lease),
    });
    StoreCall::Swap {
        checks: checks.collect(),
        puts: puts.collect(),
        deletes: Vec::new(),
        reads: writes.map(|w| Keys::claim(&w.key)).collect(),
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
