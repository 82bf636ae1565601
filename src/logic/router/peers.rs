use std::net::SocketAddr;
use std::sync::Arc;

use super::{claim_writers, head, RouterState};
use crate::logic::{Effect, Peer};
use crate::message::{HeadReply, Message};
use crate::types::{InstanceId, Millis};

/// A router's view of another router.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PeerView {
    /// Where it listens; absent when it is known only from its own questions.
    pub addr: Option<SocketAddr>,
    /// Whether a session is open.
    pub up: bool,
    /// Whether it is dialled at present.
    pub dialled: bool,
    /// When the question was asked that it last answered without being ahead.
    pub heard_at: Option<Millis>,
    /// Whether it has answered since this process started, so that it knows of us.
    pub met: bool,
}

/// Takes the other routers over from the instance list.
pub(super) fn on_list(state: &mut RouterState, out: &mut Vec<Effect>) {
    let listed: Vec<_> = state
        .instances
        .values()
        .filter(|i| i.is_router() && i.id != state.me)
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
        out.push(Effect::Hangup(id));
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
            up: false,
            dialled: false,
            heard_at: None,
            met: false,
        }
    }
}

/// Asks peers while the service gives no proof, and those that were never met.
pub(super) fn on_tick(state: &mut RouterState, now: Millis, out: &mut Vec<Effect>) {
    prove_by_peers(state, now);
    if now < state.head.ask_at {
        return;
    }
    state.head.ask_at = now + state.knobs.ask_ms;
    let fresh = state
        .head
        .proven_at
        .is_some_and(|at| now < at + state.knobs.proof_ms / 2);
    let number = state.number();
    let writers = claim_writers::writers(state);
    for (id, peer) in &mut state.peers {
        let asked = !fresh || !peer.met;
        if !asked && writers.contains(id) {
            dial(id, peer, out);
            continue;
        }
        if !asked {
            if peer.dialled {
                peer.dialled = false;
                out.push(Effect::Hangup(id.clone()));
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
        out.push(Effect::Dial {
            to: id.clone(),
            addr,
        });
    }
}

/// Where every peer has said that it isn't ahead, none has accepted a newer bundle.
///
/// Acceptance goes through a router, so the oldest of their answers is a proof.
fn prove_by_peers(state: &mut RouterState, now: Millis) {
    let unsettled = state.rules.settled_only && state.roll.is_some();
    if !state.list_known || unsettled {
        return;
    }
    let mut oldest = now;
    for peer in state.peers.values() {
        let Some(heard) = peer.heard_at else {
            return;
        };
        oldest = oldest.min(heard);
    }
    head::record_proof(state, oldest);
}

/// A session with another router has opened or closed.
pub(super) fn on_session(state: &mut RouterState, now: Millis, id: &InstanceId, up: bool) {
    if up {
        // Ask at once instead of at the next round.
        state.head.ask_at = now;
    }
    if let Some(peer) = state.peers.get_mut(id) {
        peer.up = up;
    }
}

/// Another router asks which bundle is in force here.
pub(super) fn on_head_ask(
    state: &mut RouterState,
    now: Millis,
    from: &Peer,
    asked_at: Millis,
    number: u64,
    out: &mut Vec<Effect>,
) {
    // Whoever can accept a bundle must be heard before unanimity counts.
    state
        .peers
        .entry(from.id.clone())
        .or_insert_with(PeerView::unknown);
    let own = state.number();
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
        state.head.ask_at = now;
    }
}

/// Another router has answered.
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
    let own = state.number();
    let unsettled = state.rules.settled_only && !reply.settled;
    let Some(peer) = state.peers.get_mut(&from.id) else {
        return;
    };
    peer.met = true;
    if reply.number > own || unsettled {
        return;
    }
    let before = peer.heard_at.unwrap_or(0);
    peer.heard_at = Some(before.max(reply.asked_at));
    if reply.number < own {
        return;
    }
    if let Some(age) = reply.age_ms {
        if let Some(at) = reply.asked_at.checked_sub(age) {
            head::record_proof(state, at);
        }
    }
}
