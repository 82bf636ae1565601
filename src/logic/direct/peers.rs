//! Other routers: where they are, and what they see of an endpoint.
//!
//! A router keeps its address in the key-value service under a lease. A planner
//! that misses a head asks a few others to look as well: it may itself be the
//! one that is cut off.

use std::net::SocketAddr;

use super::{
    crashes, demand, digests, endpoints, plan, rates, Asked, DirectEffect, DirectState, LookResult,
    PeerMessage,
};
use crate::logic::router::{
    CallId, Put, StoreCall, StoreChange, StoreEntry, StoreReply, StoreResult,
};
use crate::logic::Effect;
use crate::types::{InstanceId, Millis};

/// Prefix of the product's own keys.
pub(super) const PREFIX: &str = "runrail/";

/// Prefix of routers' addresses.
const ROUTERS: &str = "runrail/router/";

/// Length of the lease that a router's address lies under, in seconds.
const LEASE_S: u64 = 6;

/// Time between two renewals.
const RENEW_MS: Millis = 2_000;

/// Pause after a call that failed.
const AGAIN_MS: Millis = 500;

/// Time within which routers that start together know each other.
const KNOWN_MS: Millis = 1_000;

/// State of a router's own address in the key-value service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Presence {
    /// Lease that the address lies under.
    pub lease: Option<i64>,
    /// Whether it was written under that lease.
    pub written: bool,
    /// When something is done about it next.
    pub next_at: Millis,
    /// The call that is under way.
    pub call: Option<CallId>,
}

/// Looks after the own address.
pub(super) fn tend(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    count(state, now);
    let presence = &state.presence;
    let (Some(addr), None) = (state.addr, presence.call) else {
        return;
    };
    if now < presence.next_at || state.stopping.is_some() {
        return;
    }
    let op = match (presence.lease, presence.written) {
        (None, _) => StoreCall::Grant { ttl_s: LEASE_S },
        (Some(lease), false) => StoreCall::Swap {
            checks: Vec::new(),
            puts: vec![Put {
                key: format!("{ROUTERS}{}", state.me),
                value: addr.to_string(),
                lease: Some(lease),
            }],
            deletes: Vec::new(),
            reads: Vec::new(),
        },
        (Some(lease), true) => StoreCall::Renew { lease },
    };
    let call = state.call(op, out);
    state.presence.call = Some(call);
}

/// A call about the own address has been answered.
pub(super) fn answered(state: &mut DirectState, now: Millis, result: &StoreResult) {
    let presence = &mut state.presence;
    presence.call = None;
    match result {
        Ok(StoreReply::Lease { ttl_s: 0, .. }) => *presence = Presence::default(),
        Ok(StoreReply::Lease { lease, .. }) => {
            let renewed = presence.written;
            presence.lease = Some(*lease);
            presence.next_at = if renewed { now + RENEW_MS } else { now };
        }
        Ok(StoreReply::Swapped { done: true, .. }) => {
            presence.written = true;
            presence.next_at = now + RENEW_MS;
        }
        _ => {
            let lost = !presence.written;
            presence.next_at = now + AGAIN_MS;
            if lost {
                presence.lease = None;
            }
        }
    }
}

/// The own keys were read whole.
pub(super) fn read(state: &mut DirectState, now: Millis, entries: &[StoreEntry]) {
    state.retries_from.get_or_insert(now + unproven(state));
    state.peers.clear();
    for entry in entries {
        learn(state, &entry.key, Some(&entry.value));
    }
}

/// Remembers how many routers are known, this one included.
pub(super) fn count(state: &mut DirectState, now: Millis) {
    let routers = state.peers.len() as u64 + 1;
    let window = state.knobs.retry_window;
    state.routers.record(now, window, routers);
}

/// Time from the first reading of the routers until this one sends retries. An earlier life
/// of the process may have spent all that a window allows, by requests that came before it;
/// at the first start of the system there was none.
fn unproven(state: &DirectState) -> Millis {
    if state.plan.first {
        KNOWN_MS
    } else {
        state.knobs.retry_window
    }
}

/// Own keys have changed.
pub(super) fn changed(state: &mut DirectState, changes: &[StoreChange]) {
    for change in changes {
        learn(state, &change.key, change.value.as_deref());
    }
}

fn learn(state: &mut DirectState, key: &str, value: Option<&str>) {
    let Some(id) = key.strip_prefix(ROUTERS).map(InstanceId::new) else {
        return;
    };
    let addr = value.and_then(|v| v.parse().ok());
    match addr.filter(|_| id != state.me) {
        Some(addr) => state.peers.insert(id, addr),
        None => state.peers.remove(&id),
    };
}

/// Asks some other routers to look at an endpoint; returns the questions' numbers.
pub(super) fn ask(
    state: &mut DirectState,
    id: &InstanceId,
    most: usize,
    out: &mut Vec<Effect>,
) -> Vec<u64> {
    let Some(addr) = state.endpoints.get(id).map(|v| v.entry.addr) else {
        return Vec::new();
    };
    let mut numbers = Vec::new();
    for to in some(state, most) {
        let number = state.number();
        let message = PeerMessage::Ask {
            number,
            id: id.clone(),
            addr,
        };
        out.push(Effect::Direct(DirectEffect::Tell { to, message }));
        numbers.push(number);
    }
    numbers
}

/// Routers that one tells that the store is back. Each that finds it so tells as many in
/// turn: with three, all of 400 know after six steps, and none sends more.
const TOLD_BACK: usize = 3;

/// The store answers again: some other routers are told, each of which tries it itself.
pub(super) fn store_back(state: &mut DirectState, out: &mut Vec<Effect>) {
    for to in some(state, TOLD_BACK) {
        let message = PeerMessage::StoreBack;
        out.push(Effect::Direct(DirectEffect::Tell { to, message }));
    }
}

/// Some other routers, drawn at random.
fn some(state: &mut DirectState, most: usize) -> Vec<SocketAddr> {
    let mut peers: Vec<SocketAddr> = state.peers.values().copied().collect();
    let mut drawn = Vec::new();
    while !peers.is_empty() && drawn.len() < most {
        let at = state.random(peers.len() as u64) as usize;
        drawn.push(peers.swap_remove(at));
    }
    drawn
}

/// Another router has said something.
pub(super) fn said(
    state: &mut DirectState,
    now: Millis,
    from: SocketAddr,
    message: PeerMessage,
    out: &mut Vec<Effect>,
) {
    match message {
        PeerMessage::Ask { number, id, addr } => {
            let asked = Asked {
                from,
                number,
                at: now,
            };
            state.asked.entry(id.clone()).or_default().push(asked);
            out.push(Effect::Direct(DirectEffect::Look { id, addr }));
        }
        PeerMessage::Digest(digest) => digests::received(state, now, *digest, out),
        PeerMessage::Demand { routers, models } => {
            demand::told(state, now, from, routers, models);
        }
        PeerMessage::StoreBack => out.push(Effect::Direct(DirectEffect::TryStore)),
        PeerMessage::Traffic => state.plan.traffic = true,
        PeerMessage::Silent { id } => plan::on_head_silent(state, now, &id, out),
        PeerMessage::Rate { id, rate } => rates::told(state, now, &id, rate, out),
        PeerMessage::Crashes(reports) => crashes::told(state, now, &reports, out),
        PeerMessage::Seen { number, sight } => plan::on_observation(state, number, sight),
    }
}

/// Tells the planner that an endpoint is silent here.
pub(super) fn warn(state: &DirectState, id: &InstanceId, out: &mut Vec<Effect>) {
    tell_planner(state, PeerMessage::Silent { id: id.clone() }, out);
}

/// Tells the planner that the first caller has come.
pub(super) fn traffic(state: &DirectState, out: &mut Vec<Effect>) {
    tell_planner(state, PeerMessage::Traffic, out);
}

/// Says something to the router that plans, where it is another one.
fn tell_planner(state: &DirectState, message: PeerMessage, out: &mut Vec<Effect>) {
    let holder = state.plan.duty.holder.as_deref().map(InstanceId::new);
    if let Some(to) = holder.and_then(|h| state.peers.get(&h)).copied() {
        out.push(Effect::Direct(DirectEffect::Tell { to, message }));
    }
}

/// An endpoint was looked at: tells those that have asked.
pub(super) fn looked(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    result: &LookResult,
    out: &mut Vec<Effect>,
) {
    for asked in state.asked.remove(id).unwrap_or_default() {
        let message = PeerMessage::Seen {
            number: asked.number,
            sight: endpoints::sight(state, now, id, result, asked.at),
        };
        let to = asked.from;
        out.push(Effect::Direct(DirectEffect::Tell { to, message }));
    }
}
