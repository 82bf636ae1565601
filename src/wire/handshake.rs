//! Mutual authentication with the fleet's key, before any message is exchanged.
//!
//! The proof is an HMAC-SHA256 over the sender's side, both nonces, the sender's
//! identity and the receiver's id. It keeps out processes without the key; the messages
//! that follow are neither encrypted nor signed.

use displaydoc::Display;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use super::{Challenge, Hello, Identity, Welcome, PROTOCOL_VERSION};
use crate::logic::{Peer, PeerRole};
use crate::types::InstanceId;

/// Why a handshake failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub(super) enum HandshakeError {
    /// protocol version mismatch: found {0}, expected 1
    Version(u32),
    /// meant for {0}, which is not this instance
    WrongInstance(InstanceId),
    /// the peer does not hold the fleet's key
    Proof,
}

/// Side that made a proof; it is part of the proof, so that a proof can't be reflected
/// to its sender. The initiator is the side that dialled.
#[derive(Clone, Copy)]
enum Side {
    Initiator,
    Responder,
}

pub(super) fn new_challenge() -> Challenge {
    Challenge {
        version: PROTOCOL_VERSION,
        nonce: random_nonce(),
    }
}

pub(super) fn build_hello(me: &Identity, to: &InstanceId, challenge: &Challenge) -> Hello {
    let nonce = random_nonce();
    Hello {
        version: PROTOCOL_VERSION,
        id: me.id.clone(),
        to: to.clone(),
        incarnation: me.incarnation,
        role: me.role,
        nonce,
        proof: build_proof(
            me,
            Side::Initiator,
            &challenge.nonce,
            &nonce,
            &me.as_peer(),
            to,
        ),
    }
}

pub(super) fn check_version(version: u32) -> Result<(), HandshakeError> {
    if version == PROTOCOL_VERSION {
        Ok(())
    } else {
        Err(HandshakeError::Version(version))
    }
}

/// Verifies a hello; returns its sender and the welcome to answer with.
pub(super) fn check_hello(
    me: &Identity,
    challenge: &Challenge,
    hello: &Hello,
) -> Result<(Peer, Welcome), HandshakeError> {
    check_version(hello.version)?;
    if hello.to != me.id {
        return Err(HandshakeError::WrongInstance(hello.to.clone()));
    }
    let peer = Peer {
        id: hello.id.clone(),
        incarnation: hello.incarnation,
        role: hello.role,
    };
    let mac = proof_mac(
        me,
        Side::Initiator,
        &challenge.nonce,
        &hello.nonce,
        &peer,
        &me.id,
    );
    mac.verify_slice(&hello.proof)
        .map_err(|_| HandshakeError::Proof)?;
    let own = me.as_peer();
    let welcome = Welcome {
        id: me.id.clone(),
        incarnation: me.incarnation,
        role: me.role,
        proof: build_proof(
            me,
            Side::Responder,
            &challenge.nonce,
            &hello.nonce,
            &own,
            &peer.id,
        ),
    };
    Ok((peer, welcome))
}

/// Verifies a welcome; returns its sender.
pub(super) fn check_welcome(
    me: &Identity,
    to: &InstanceId,
    challenge: &Challenge,
    hello: &Hello,
    welcome: &Welcome,
) -> Result<Peer, HandshakeError> {
    if &welcome.id != to {
        return Err(HandshakeError::WrongInstance(welcome.id.clone()));
    }
    let peer = Peer {
        id: welcome.id.clone(),
        incarnation: welcome.incarnation,
        role: welcome.role,
    };
    let mac = proof_mac(
        me,
        Side::Responder,
        &challenge.nonce,
        &hello.nonce,
        &peer,
        &me.id,
    );
    mac.verify_slice(&welcome.proof)
        .map_err(|_| HandshakeError::Proof)?;
    Ok(peer)
}

fn random_nonce() -> [u8; 16] {
    let bits = fastrand::u128(..);
    bits.to_be_bytes()
}

fn build_proof(
    me: &Identity,
    side: Side,
    challenge: &[u8],
    nonce: &[u8],
    sender: &Peer,
    to: &InstanceId,
) -> Vec<u8> {
    let mac = proof_mac(me, side, challenge, nonce, sender, to);
    mac.finalize().into_bytes().to_vec()
}

fn proof_mac(
    me: &Identity,
    side: Side,
    challenge: &[u8],
    nonce: &[u8],
    sender: &Peer,
    to: &InstanceId,
) -> Hmac<Sha256> {
    // Invariant: HMAC accepts keys of any length.
    let mut mac = Hmac::<Sha256>::new_from_slice(&me.key).expect("HMAC accepts keys of any length");
    let mut update = |bytes: &[u8]| {
        mac.update(&(bytes.len() as u64).to_be_bytes());
        mac.update(bytes);
    };
    update(&[side as u8]);
    update(challenge);
    update(nonce);
    update(sender.id.as_str().as_bytes());
    update(&sender.incarnation.to_be_bytes());
    update(&[match sender.role {
        PeerRole::Router => 0,
        PeerRole::Agent => 1,
    }]);
    update(to.as_str().as_bytes());
    mac
}
