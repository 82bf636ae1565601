//! Other routers: their addresses, and the messages between them.
//!
//! A router keeps its address in the key-value service under a lease. A planner that gets no
//! answer from a head asks some other routers to probe it as well, as the planner itself may
//! be the one that is cut off.

use std::net::SocketAddr;

use super::admission::usage_reports;
use super::limits::rate_limit;
use super::{
    crashes, demand, digests, endpoints, leaving, plan, DirectEffect, DirectState,
    ObservationRequest, PeerMessage, ProbeResult,
};
use crate::logic::router::{
    CallId, KeyWrite, StoreCall, StoreChange, StoreEntry, StoreReply, StoreResult,
};
use crate::logic::Effect;
use crate::types::{check_address, InstanceId, Millis};

/// Prefix of all keys that this product writes.
pub(super) const PREFIX: &str = "runrail/";

/// Prefix of the keys of routers' addresses.
const ROUTER_PREFIX: &str = "runrail/router/";

/// Time to live of the lease of a router's address.
const LEASE_S: u64 = 6;

/// Time between two renewals of that lease.
const RENEW_INTERVAL_MS: Millis = 2_000;

/// Pause after a call that failed.
const RETRY_MS: Millis = 500;

/// Time within which routers that start together get to know each other.
pub(super) const DISCOVERY_MS: Millis = 1_000;

/// Time from the start of a process until it knows most of the routers that started with it: each
/// writes its address, and the watch of these keys brings many together.
pub(super) const REGISTRATION_MS: Millis = 100;

/// State of a router's own address in the key-value service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Registration {
    /// Lease of the address, once granted.
    pub lease: Option<i64>,
    /// Whether the address was written under that lease.
    pub written: bool,
    /// When the next call may be sent.
    pub next_at: Millis,
    /// The call that awaits its reply.
    pub call: Option<CallId>,
}

/// Writes the own address and renews its lease.
pub(super) fn on_tick(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    record_routers(state, now);
    let registration = &state.registration;
    let (Some(addr), None) = (state.own_addr, registration.call) else {
        return;
    };
    if now < registration.next_at || state.stop_since.is_some() {
        return;
    }
    let op = match (registration.lease, registration.written) {
        (None, _) => StoreCall::Grant { ttl_s: LEASE_S },
        (Some(lease), false) => StoreCall::Transaction {
            checks: Vec::new(),
            puts: vec![KeyWrite {
                key: format!("{ROUTER_PREFIX}{}", state.own_id),
                value: addr.to_string(),
                lease: Some(lease),
            }],
            deletes: Vec::new(),
            reads: Vec::new(),
        },
        (Some(lease), true) => StoreCall::Renew { lease },
    };
    let call = state.call_store(op, out);
    state.registration.call = Some(call);
}

/// Handles the store's reply to a call about the own address.
pub(super) fn on_store_reply(state: &mut DirectState, now: Millis, result: &StoreResult) {
    let registration = &mut state.registration;
    registration.call = None;
    match result {
        Ok(StoreReply::Lease { ttl_s: 0, .. }) => *registration = Registration::default(),
        Ok(StoreReply::Lease { lease, .. }) => {
            let renewed = registration.written;
            registration.lease = Some(*lease);
            registration.next_at = if renewed {
                now + RENEW_INTERVAL_MS
            } else {
                now
            };
        }
        Ok(StoreReply::Transaction { done: true, .. }) => {
            registration.written = true;
            registration.next_at = now + RENEW_INTERVAL_MS;
        }
        _ => {
            let lost = !registration.written;
            registration.next_at = now + RETRY_MS;
            if lost {
                registration.lease = None;
            }
        }
    }
}

/// Handles a complete reading of the keys under `PREFIX`.
pub(super) fn on_keys_read(state: &mut DirectState, now: Millis, entries: &[StoreEntry]) {
    state
        .retries_from
        .get_or_insert(now + retry_delay_ms(state));
    let before = std::mem::take(&mut state.peers);
    let changes = state.peer_changes;
    for entry in entries {
        apply_key(state, &entry.key, Some(&entry.value));
    }
    state.peer_changes = changes + u64::from(state.peers != before);
}

/// Whether the other routers were read.
pub(super) fn are_known(state: &DirectState) -> bool {
    state.retries_from.is_some()
}

/// Time for which a router that has just started waits for others that may have started with it.
/// Where another one plans, the first reading has them all.
pub(super) fn registration_left(state: &DirectState, now: Millis) -> Millis {
    if state.plan.lease.holder.is_some() {
        return 0;
    }
    REGISTRATION_MS.saturating_sub(state.age(now))
}

/// Records how many routers are known, this one included.
pub(super) fn record_routers(state: &mut DirectState, now: Millis) {
    let routers = state.peers.len() as u64 + 1;
    let window = state.params.retry_window;
    state.router_peak.record(now, window, routers);
}

/// Time from the first reading of the routers until this one sends retries. An earlier process of
/// this router may have spent all that a window allows, for requests that this one hasn't counted.
/// At the first start of the system there was none.
fn retry_delay_ms(state: &DirectState) -> Millis {
    if state.plan.first_start {
        DISCOVERY_MS
    } else {
        state.params.retry_window
    }
}

/// Handles changes of keys under `PREFIX`.
pub(super) fn on_watch_changes(state: &mut DirectState, changes: &[StoreChange]) {
    for change in changes {
        apply_key(state, &change.key, change.value.as_deref());
    }
}

fn apply_key(state: &mut DirectState, key: &str, value: Option<&str>) {
    let Some(id) = key.strip_prefix(ROUTER_PREFIX).map(InstanceId::new) else {
        return;
    };
    let addr = value.and_then(|v| v.parse().ok());
    let addr = addr.filter(|addr| id != state.own_id && check_address(*addr).is_ok());
    let before = match addr {
        Some(addr) => state.peers.insert(id, addr),
        None => state.peers.remove(&id),
    };
    state.peer_changes += u64::from(before != addr);
}

/// Asks up to `max` other routers to probe an endpoint; returns the numbers of these requests.
pub(super) fn send_probe_requests(
    state: &mut DirectState,
    id: &InstanceId,
    max: usize,
    out: &mut Vec<Effect>,
) -> Vec<u64> {
    let Some(addr) = state.endpoints.get(id).map(|v| v.entry.addr) else {
        return Vec::new();
    };
    let mut numbers = Vec::new();
    for to in pick_peers(state, max) {
        let number = state.next_number();
        let message = PeerMessage::Ask {
            number,
            id: id.clone(),
            addr,
        };
        out.push(Effect::Direct(DirectEffect::SendMessage { to, message }));
        numbers.push(number);
    }
    numbers
}

/// Number of routers that a router notifies once its store answers again, however large the fleet
/// is. Each of them that finds the same notifies as many: with 3, all of 400 know after six steps.
const STORE_BACK_FANOUT: usize = 3;

/// Notifies some other routers that the store answers again; each of them tries it itself.
pub(super) fn notify_store_back(state: &mut DirectState, out: &mut Vec<Effect>) {
    for to in pick_peers(state, STORE_BACK_FANOUT) {
        let message = PeerMessage::StoreBack;
        out.push(Effect::Direct(DirectEffect::SendMessage { to, message }));
    }
}

/// Up to `max` other routers, drawn at random.
pub(super) fn pick_peers(state: &mut DirectState, max: usize) -> Vec<SocketAddr> {
    let mut peers: Vec<SocketAddr> = state.peers.values().copied().collect();
    let mut drawn = Vec::new();
    while !peers.is_empty() && drawn.len() < max {
        let at = state.random_below(peers.len() as u64) as usize;
        drawn.push(peers.swap_remove(at));
    }
    drawn
}

/// Handles a message from another router.
pub(super) fn on_message(
    state: &mut DirectState,
    now: Millis,
    from: SocketAddr,
    message: PeerMessage,
    out: &mut Vec<Effect>,
) {
    match message {
        PeerMessage::Ask { number, id, addr } => {
            let asked = ObservationRequest {
                from,
                number,
                at: now,
            };
            state
                .observation_requests
                .entry(id.clone())
                .or_default()
                .push(asked);
            out.push(Effect::Direct(DirectEffect::Probe {
                id,
                addr,
                fresh: true,
            }));
        }
        PeerMessage::Digest(digest) => digests::on_digest(state, now, *digest, out),
        PeerMessage::Demand {
            routers,
            models,
            accounts,
            trends,
        } => {
            demand::on_report(state, now, from, routers, models);
            usage_reports::on_report(state, now, from, accounts);
            demand::on_trends(state, now, from, trends);
        }
        PeerMessage::StoreBack => out.push(Effect::Direct(DirectEffect::RetryStore)),
        PeerMessage::Traffic => state.plan.has_traffic = true,
        PeerMessage::Silent { id } => plan::on_head_suspected(state, now, &id, out),
        PeerMessage::Rate { id, rate } => rate_limit::on_peer_rate(state, now, &id, rate, out),
        PeerMessage::Leaving { id, born } => leaving::on_peer_leaving(state, now, &id, born, out),
        PeerMessage::Crashes(reports) => crashes::on_crash_reports(state, now, &reports, out),
        PeerMessage::TrialAsked(causes) => crashes::on_trial_asked(state, now, from, causes, out),
        PeerMessage::TrialGranted(causes) => crashes::on_trial_granted(state, now, causes),
        PeerMessage::Seen { number, sight } => plan::on_observation(state, number, sight),
    }
}

/// Notifies the planner that this router suspects an endpoint of being lost.
pub(super) fn notify_suspected(state: &DirectState, id: &InstanceId, out: &mut Vec<Effect>) {
    notify_planner(state, PeerMessage::Silent { id: id.clone() }, out);
}

/// Notifies the planner of the first caller.
pub(super) fn notify_traffic(state: &DirectState, out: &mut Vec<Effect>) {
    notify_planner(state, PeerMessage::Traffic, out);
}

/// Sends a message to the planner, if that is another router whose address is known.
pub(super) fn notify_planner(state: &DirectState, message: PeerMessage, out: &mut Vec<Effect>) {
    let holder = state.plan.lease.holder.as_deref().map(InstanceId::new);
    if let Some(to) = holder.and_then(|h| state.peers.get(&h)).copied() {
        out.push(Effect::Direct(DirectEffect::SendMessage { to, message }));
    }
}

/// Sends this router's observation of a probed endpoint to the routers that asked for it.
pub(super) fn on_probe_result(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    result: &ProbeResult,
    out: &mut Vec<Effect>,
) {
    for asked in state.observation_requests.remove(id).unwrap_or_default() {
        let message = PeerMessage::Seen {
            number: asked.number,
            sight: endpoints::observation(state, now, id, result, asked.at),
        };
        let to = asked.from;
        out.push(Effect::Direct(DirectEffect::SendMessage { to, message }));
    }
}
