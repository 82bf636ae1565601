//! The planner lease: the key in the key-value service whose holder is the planner.

use super::form;
use crate::logic::direct::store_restore::REWRITE_MS;
use crate::logic::direct::{crashes, list_start, peers, DirectState};
use crate::logic::router::{
    CallId, KeyWrite, RevisionCheck, StoreCall, StoreChange, StoreReply, StoreResult,
};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::{Millis, StorePosition};

/// Key that the planner holds under its lease.
const KEY: &str = "runrail/planner/fleet";

/// Key with the store's era in which the planner lease was last acquired.
const ERA_KEY: &str = "runrail/planner/era";

/// Renewals within one lease length.
const RENEWALS_PER_LEASE: u64 = 3;

/// Pause after a failed store call.
const RETRY_PAUSE_MS: Millis = 200;

/// Longest random pause before a free planner lease is acquired, plus about the time of
/// one store call per router, so that only a few routers try at once however many exist.
const MAX_JITTER_MS: u64 = 60;
const MAX_JITTER_PER_ROUTER_MS: u64 = 4;

/// Pause of most routers of a system that starts: the few that read the list from the store may
/// acquire the lease first, and the watch of its key may report that late.
const STARTER_PAUSE_MS: Millis = 1_000;

fn jitter_ms(state: &mut DirectState) -> Millis {
    let max = MAX_JITTER_MS + MAX_JITTER_PER_ROUTER_MS * state.peers.len() as u64;
    state.random_below(max)
}

/// Order fences that belong to one planner lease. A lease that has used them up is handed back: at the
/// 200 orders a second of [`order`](super::order), after five minutes.
const ORDERS_PER_FENCE: u64 = 1 << 16;

/// State of the planner lease as this router knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PlannerLease {
    /// Whether the key was read and is watched.
    pub watched: bool,
    /// Instance id in the key, if the key exists.
    pub holder: Option<String>,
    /// Revision of the key; 0 if it doesn't exist.
    pub revision: i64,
    /// Id of the own lease.
    pub lease_id: Option<i64>,
    /// Length of the own lease in milliseconds, counted from its last renewal.
    pub ttl_ms: Millis,
    /// When the call that created the own lease was sent.
    pub grant_sent: Millis,
    /// Fence of this router as planner, from which those of its orders follow; 0 while it isn't the
    /// planner.
    pub fence: u64,
    /// Orders sent under this fence.
    pub orders_sent: u64,
    /// Whether no router has held a planner lease before.
    pub is_first: bool,
    /// Position of the store at which the key was written.
    pub taken_at: StorePosition,
    /// Earliest time at which a lease may be requested. After the store was restored from a
    /// backup an earlier planner may still count on a lease that the store has lost; it
    /// has run out by then.
    pub free_from: Millis,
    /// Until when the own lease is certain to be valid.
    pub valid_until: Millis,
    /// When the next store call may be made.
    pub next_call: Millis,
    /// The store call that awaits its reply.
    pub call: Option<(CallId, LeaseCall)>,
}

/// Purpose of a store call about the planner lease; each time is when the call was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LeaseCall {
    /// Read the key, with all others of the product.
    Read,
    /// Create a lease.
    Grant(Millis),
    /// Write the key under the lease.
    Acquire(i64, Millis),
    /// Renew the lease.
    Renew(Millis),
    /// Revoke the lease.
    Revoke,
}

impl PlannerLease {
    /// Whether this router is certain to hold the planner lease at `now`.
    pub fn holds(&self, now: Millis) -> bool {
        self.fence > 0 && now < self.valid_until
    }

    /// The fence of the next order: above those of all earlier orders, of earlier planner leases
    /// included.
    pub(super) fn next_order_fence(&mut self) -> u64 {
        self.orders_sent += 1;
        let base = self.fence.saturating_mul(ORDERS_PER_FENCE);
        base.saturating_add(self.orders_sent)
    }

    /// Number of orders that may still be sent under this lease.
    pub(super) fn orders_left(&self) -> u64 {
        (ORDERS_PER_FENCE - 1).saturating_sub(self.orders_sent)
    }

    /// Resets the state after the lease was lost or revoked; the key is read again.
    pub fn reset(&mut self) {
        *self = PlannerLease {
            next_call: self.next_call,
            free_from: self.free_from,
            call: self.call,
            ..PlannerLease::default()
        };
    }
}

/// Makes the next store call about the planner lease, if one is due.
pub(super) fn on_tick(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let planner_lease = &state.plan.lease;
    if planner_lease.call.is_some() || now < planner_lease.next_call {
        return;
    }
    let own = planner_lease.lease_id.filter(|_| planner_lease.fence > 0);
    // If the key names this instance while it holds no lease, an earlier process wrote it, and it
    // counts as free.
    let is_own_key = planner_lease.holder.as_deref() == Some(state.own_id.as_str());
    let is_free = planner_lease.watched && (planner_lease.holder.is_none() || is_own_key);
    let (purpose, op) = match (own, planner_lease.lease_id) {
        (Some(lease), _) if state.stop_since.is_some() => {
            (LeaseCall::Revoke, StoreCall::Revoke { lease })
        }
        _ if state.stop_since.is_some() => return,
        (Some(lease), _)
            if planner_lease.orders_left() == 0 || form::are_epochs_scarce(&state.plan) =>
        {
            let event = LogEvent::new(LogCode::OrderFencesUsed)
                .with("fence", planner_lease.fence)
                .with("orders", planner_lease.orders_sent)
                .with("epochs", state.plan.epochs_used);
            out.push(Effect::Log(event));
            (LeaseCall::Revoke, StoreCall::Revoke { lease })
        }
        (Some(lease), _) => {
            let interval = planner_lease.ttl_ms / RENEWALS_PER_LEASE;
            state.plan.lease.next_call = now.saturating_add(interval);
            (LeaseCall::Renew(now), StoreCall::Renew { lease })
        }
        (None, Some(lease)) if is_free => {
            (LeaseCall::Acquire(lease, now), acquire_call(state, lease))
        }
        // The lease length depends on the number of endpoints, so the list is read first.
        (None, None) if is_free && state.listed && now >= planner_lease.free_from => {
            let ttl_s = (lease_ms(state) / 1_000).max(1);
            (LeaseCall::Grant(now), StoreCall::Grant { ttl_s })
        }
        _ if !planner_lease.watched => (LeaseCall::Read, read_call()),
        _ => return,
    };
    let call = state.call_store(op, out);
    state.plan.lease.call = Some((call, purpose));
}

/// Length of the lease: the configured one, or 1 ms per endpoint in whole seconds if that
/// is longer, because a planning pass over all endpoints takes this router's time.
fn lease_ms(state: &DirectState) -> Millis {
    let by_size = state.endpoints.len() as Millis / 1_000 * 1_000;
    state.params.lease_ms.max(by_size)
}

/// The store's era; 0 until anything was read from the store.
fn era(state: &DirectState) -> u64 {
    state.store_era.unwrap_or(0)
}

/// How long to wait after the store was restored from a backup: until endpoints have
/// written their entries again and the lease of an earlier planner has run out.
fn settling_ms(state: &DirectState) -> Millis {
    lease_ms(state).max(REWRITE_MS)
}

/// Handles a store that was restored from a backup: no lease or key that was read before
/// is valid any more.
pub(in crate::logic::direct) fn on_store_restored(
    state: &mut DirectState,
    now: Millis,
    out: &mut Vec<Effect>,
) {
    if state.plan.lease.fence > 0 {
        let event = LogEvent::new(LogCode::PlannerLeaseLost)
            .with("why", "the store was restored from a backup");
        out.push(Effect::Log(event));
    }
    state.plan.has_predecessor = true;
    state.plan.lease = PlannerLease {
        free_from: now + settling_ms(state),
        ..PlannerLease::default()
    };
}

fn read_call() -> StoreCall {
    StoreCall::Read {
        key: peers::PREFIX.to_string(),
        prefix: true,
    }
}

/// Writes the key under the own lease, unless it has changed since it was read, or another router has
/// planned meanwhile that this one doesn't know of.
fn acquire_call(state: &DirectState, lease: i64) -> StoreCall {
    let mut checks = vec![RevisionCheck {
        key: KEY.to_string(),
        revision: state.plan.lease.revision,
    }];
    if !state.plan.has_predecessor {
        checks.push(RevisionCheck {
            key: ERA_KEY.to_string(),
            revision: 0,
        });
    }
    StoreCall::Transaction {
        checks,
        puts: vec![
            KeyWrite {
                key: KEY.to_string(),
                value: state.own_id.to_string(),
                lease: Some(lease),
            },
            KeyWrite {
                key: ERA_KEY.to_string(),
                value: era(state).to_string(),
                lease: None,
            },
        ],
        deletes: Vec::new(),
        reads: vec![KEY.to_string()],
    }
}

/// Handles the store's reply to a call about the planner lease.
pub(in crate::logic::direct) fn on_store_reply(
    state: &mut DirectState,
    now: Millis,
    call: CallId,
    result: StoreResult,
    out: &mut Vec<Effect>,
) {
    let Some((_, purpose)) = state.plan.lease.call.filter(|(c, _)| *c == call) else {
        return;
    };
    state.plan.lease.call = None;
    if let (LeaseCall::Read, Ok(StoreReply::Entries { entries, .. })) = (purpose, &result) {
        peers::on_keys_read(state, now, entries);
        crashes::on_store_entries(state, now, entries, out);
    }
    let pause = jitter_ms(state);
    let age = state.age(now);
    let (era, settling) = (era(state), settling_ms(state));
    let planner_lease = &mut state.plan.lease;
    match (purpose, result) {
        (LeaseCall::Read, Ok(StoreReply::Entries { revision, entries })) => {
            planner_lease.watched = true;
            let last_era = entries.iter().find(|e| e.key == ERA_KEY);
            state.plan.has_predecessor |= last_era.is_some();
            if last_era.is_some_and(|e| e.value != era.to_string()) {
                planner_lease.free_from = planner_lease.free_from.max(now + settling);
            }
            let found = entries.into_iter().find(|e| e.key == KEY);
            planner_lease.revision = found.as_ref().map_or(0, |e| e.revision);
            planner_lease.holder = found.map(|e| e.value);
            planner_lease.next_call = now + pause;
            if planner_lease.holder.is_none() {
                planner_lease.next_call += peers::REGISTRATION_MS.saturating_sub(age);
            }
            out.push(Effect::Watch {
                from: revision.saturating_add(1),
            });
        }
        (LeaseCall::Grant(at), Ok(StoreReply::Lease { lease, ttl_s })) => {
            planner_lease.lease_id = Some(lease);
            planner_lease.ttl_ms = ttl_s.saturating_mul(1_000);
            planner_lease.grant_sent = at;
        }
        (LeaseCall::Acquire(lease, _), Ok(StoreReply::Transaction { done, revision, .. }))
            if done =>
        {
            planner_lease.lease_id = Some(lease);
            planner_lease.is_first = !state.plan.has_predecessor;
            state.plan.has_predecessor = true;
            planner_lease.taken_at = StorePosition { era, revision };
            planner_lease.fence = planner_lease.taken_at.fence();
            planner_lease.orders_sent = 0;
            state.plan.epochs_used = 0;
            planner_lease.valid_until = planner_lease
                .grant_sent
                .saturating_add(planner_lease.ttl_ms);
            planner_lease.holder = Some(state.own_id.to_string());
            let event =
                LogEvent::new(LogCode::PlannerLeaseTaken).with("fence", planner_lease.fence);
            out.push(Effect::Log(event));
        }
        (LeaseCall::Renew(at), Ok(StoreReply::Lease { ttl_s, .. })) if ttl_s > 0 => {
            planner_lease.valid_until = at.saturating_add(planner_lease.ttl_ms);
        }
        (LeaseCall::Renew(_), Ok(_)) | (LeaseCall::Revoke, _) => {
            planner_lease.reset();
            out.push(Effect::Log(
                LogEvent::new(LogCode::PlannerLeaseLost)
                    .with("why", "the lease expired or was revoked"),
            ));
        }
        // The lease may have expired, or another router has written the key first.
        (LeaseCall::Acquire(..), _) => {
            planner_lease.reset();
            planner_lease.next_call = now + RETRY_PAUSE_MS;
        }
        _ => planner_lease.next_call = now + RETRY_PAUSE_MS,
    }
}

/// Handles changes of watched keys.
pub(in crate::logic::direct) fn on_watch_changes(
    state: &mut DirectState,
    now: Millis,
    changes: &[StoreChange],
) {
    let pause = jitter_ms(state);
    let age = state.age(now);
    let is_reader = list_start::parent(state).is_none();
    let me = state.own_id.to_string();
    let planner_lease = &mut state.plan.lease;
    for change in changes.iter().filter(|c| c.key == KEY) {
        planner_lease.holder.clone_from(&change.value);
        planner_lease.revision = if change.value.is_some() {
            change.revision
        } else {
            0
        };
        let is_other = planner_lease.holder.as_ref().is_some_and(|h| *h != me);
        state.plan.has_predecessor |= is_other;
        if is_other && planner_lease.fence > 0 {
            planner_lease.fence = 0;
            planner_lease.lease_id = None;
        }
        if planner_lease.holder.is_none() && planner_lease.fence == 0 {
            planner_lease.next_call = now + pause;
        }
    }
    // Of routers that start together, each learns only now how many share the pause.
    let is_starting = age < peers::DISCOVERY_MS;
    if is_starting && planner_lease.holder.is_none() && planner_lease.lease_id.is_none() {
        planner_lease.next_call = now + pause + peers::REGISTRATION_MS.saturating_sub(age);
        if !is_reader {
            planner_lease.next_call += STARTER_PAUSE_MS;
        }
    }
}

/// Handles the loss of the watch: changes may have been missed, so the key is read again.
pub(in crate::logic::direct) fn on_watch_lost(state: &mut DirectState) {
    state.plan.lease.watched = false;
}
