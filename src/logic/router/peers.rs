use std::net::SocketAddr;
use std::sync::Arc;

use super::{claim_writers, head, RouterState};
use crate::logic::{Effect, Peer};
use crate::message::{HeadReply, Message};
use crate::types::{InstanceId, Millis};

/// A router's view of another router.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PeerView {
    /// Where it listens; absent if it isn't listed and known only from its queries.
    pub addr: Option<SocketAddr>,
    /// Whether a session is open.
    pub connected: bool,
    /// Whether this router dials it and keeps a session with it.
    pub dialled: bool,
    /// When the last query was sent to which it replied that it has no newer bundle and no
    /// unsettled roll.
    pub confirmed_at: Option<Millis>,
    /// Whether it has replied since this process started, so that it knows this router.
    pub has_replied: bool,
}

/// Updates the other routers from a new instance list.
pub(super) fn on_list(state: &mut RouterState, out: &mut Vec<Effect>) {
    let listed: Vec<_> = state
        .instances
        .values()
        .filter(|i| i.is_router() && i.id != state.own_id)
        .map(|i| (i.id.clone(), i.addr))
        .collect();
    let gone: Vec<_> = state
        .peers
        .iter()
        .filter(|(id, p)| p.addr.is_some() && !listed.iter().any(|(l, _)| l == *id))
        .map(|(id, _)| id.clone())
        .collect();
    for id in gone {
        state.peers.remove(&id);
        out.push(Effect::CloseSession(id));
    }
    for (id, addr) in listed {
        let peer = state.peers.entry(id).or_insert_with(PeerView::unknown);
        peer.addr = Some(addr);
    }
}

impl PeerView {
    fn unknown() -> Self {
        Self {
            addr: None,
            connected: false,
            dialled: false,
            confirmed_at: None,
            has_replied: false,
        }
    }
}

/// Queries the other routers while the last proof is older than half of `proof_ms`, and at any
/// time those that have never replied. Sessions are kept only with routers that are queried or
/// that write claims.
pub(super) fn on_tick(state: &mut RouterState, now: Millis, out: &mut Vec<Effect>) {
    prove_by_peers(state, now);
    if now < state.head.query_at {
        return;
    }
    state.head.query_at = now + state.params.ask_ms;
    let fresh = state
        .head
        .proven_at
        .is_some_and(|at| now < at + state.params.proof_ms / 2);
    let number = state.bundle_number();
    let writers = claim_writers::writers(state);
    for (id, peer) in &mut state.peers {
        let asked = !fresh || !peer.has_replied;
        if !asked && writers.contains(id) {
            dial(id, peer, out);
            continue;
        }
        if !asked {
            if peer.dialled {
                peer.dialled = false;
                out.push(Effect::CloseSession(id.clone()));
            }
            continue;
        }
        dial(id, peer, out);
        out.push(Effect::Send {
            to: id.clone(),
            message: Message::HeadAsk {
                asked_at: now,
                number,
            },
        });
    }
}

fn dial(id: &InstanceId, peer: &mut PeerView, out: &mut Vec<Effect>) {
    let Some(addr) = peer.addr else {
        return;
    };
    if !peer.dialled {
        peer.dialled = true;
        out.push(Effect::OpenSession {
            to: id.clone(),
            addr,
        });
    }
}

/// Records a proof if every other router has replied that it has no newer bundle and no unsettled
/// roll.
///
/// A bundle is put in force only through a router, so at the time of the oldest of these queries no
/// newer one was in force. It is no proof while this router has an unsettled roll or doesn't know
/// the instance list.
fn prove_by_peers(state: &mut RouterState, now: Millis) {
    let unsettled = state.rules.settled_only && state.roll.is_some();
    if !state.has_list || unsettled {
        return;
    }
    let mut oldest = now;
    for peer in state.peers.values() {
        let Some(confirmed) = peer.confirmed_at else {
            return;
        };
        oldest = oldest.min(confirmed);
    }
    head::record_proof(state, oldest);
}

/// Handles a session with another router that has opened or closed.
pub(super) fn on_session(state: &mut RouterState, now: Millis, id: &InstanceId, up: bool) {
    if up {
        // Query at once instead of at the next interval.
        state.head.query_at = now;
    }
    if let Some(peer) = state.peers.get_mut(id) {
        peer.connected = up;
    }
}

/// Handles another router's query for the bundle in force here.
pub(super) fn on_head_ask(
    state: &mut RouterState,
    now: Millis,
    from: &Peer,
    asked_at: Millis,
    number: u64,
    out: &mut Vec<Effect>,
) {
    // The sender can put bundles in force, so it belongs to those that must have replied before
    // their replies are a proof, even if it isn't listed.
    state
        .peers
        .entry(from.id.clone())
        .or_insert_with(PeerView::unknown);
    let own = state.bundle_number();
    let bundle = state.bundle().filter(|_| number < own);
    let reply = HeadReply {
        asked_at,
        number: own,
        age_ms: state.head.proven_at.map(|at| now.saturating_sub(at)),
        settled: state.roll.is_none(),
        bundle: bundle.map(|b| Box::new(b.as_ref().clone())),
    };
    out.push(Effect::Send {
        to: from.id.clone(),
        message: Message::HeadReply(reply),
    });
    if number > own {
        state.head.query_at = now;
    }
}

/// Handles another router's reply.
///
/// A newer bundle in it is put in force. A reply from a router with the same bundle also passes on
/// the age of its own proof.
pub(super) fn on_head_reply(
    state: &mut RouterState,
    now: Millis,
    from: &Peer,
    reply: HeadReply,
    out: &mut Vec<Effect>,
) {
    if let Some(bundle) = reply.bundle {
        head::adopt(state, now, Arc::new(*bundle), out);
    }
    let own = state.bundle_number();
    let unsettled = state.rules.settled_only && !reply.settled;
    let Some(peer) = state.peers.get_mut(&from.id) else {
        return;
    };
    peer.has_replied = true;
    if reply.number > own || unsettled {
        return;
    }
    let before = peer.confirmed_at.unwrap_or(0);
    peer.confirmed_at = Some(before.max(reply.asked_at));
    if reply.number < own {
        return;
    }
    if let Some(age) = reply.age_ms {
        if let Some(at) = reply.asked_at.checked_sub(age) {
            head::record_proof(state, at);
        }
    }
}
