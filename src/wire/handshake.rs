//! Both sides prove that they hold the fleet's key, before any message.
//!
//! The proof is HMAC-SHA256 over both nonces and all that the sender says of
//! itself. It keeps strangers out; it doesn't hide or protect what follows.

use displaydoc::Display;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use super::{Challenge, Hello, Identity, Welcome, PROTOCOL_VERSION};
use crate::logic::{Peer, PeerRole};
use crate::types::InstanceId;

/// Why a handshake failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub(super) enum HandshakeError {
    /// found protocol version {0}, expected 1
    Version(u32),
    /// meant for {0}, which isn't this instance
    WrongInstance(InstanceId),
    /// the other side doesn't hold the fleet's key
    Proof,
}

/// Which side a proof comes from; keeps one from being sent back as the other.
#[derive(Clone, Copy)]
enum Side {
    Dialler,
    Dialled,
}

pub(super) fn challenge() -> Challenge {
    Challenge {
        version: PROTOCOL_VERSION,
        nonce: nonce(),
    }
}

pub(super) fn hello(me: &Identity, to: &InstanceId, challenge: &Challenge) -> Hello {
    let nonce = nonce();
    Hello {
        version: PROTOCOL_VERSION,
        id: me.id.clone(),
        to: to.clone(),
        incarnation: me.incarnation,
        role: me.role,
        nonce,
        proof: proof(
            me,
            Side::Dialler,
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

/// Checks a hello; returns its sender and the answer.
pub(super) fn accept(
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
    let mac = mac(
        me,
        Side::Dialler,
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
        proof: proof(
            me,
            Side::Dialled,
            &challenge.nonce,
            &hello.nonce,
            &own,
            &peer.id,
        ),
    };
    Ok((peer, welcome))
}

/// Checks a welcome; returns its sender.
pub(super) fn welcomed(
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
    let mac = mac(
        me,
        Side::Dialled,
        &challenge.nonce,
        &hello.nonce,
        &peer,
        &me.id,
    );
    mac.verify_slice(&welcome.proof)
        .map_err(|_| HandshakeError::Proof)?;
    Ok(peer)
}

fn nonce() -> [u8; 16] {
    let high = fastrand::u128(..);
    high.to_be_bytes()
}

fn proof(
    me: &Identity,
    side: Side,
    challenge: &[u8],
    nonce: &[u8],
    sender: &Peer,
    to: &InstanceId,
) -> Vec<u8> {
    let mac = mac(me, side, challenge, nonce, sender, to);
    mac.finalize().into_bytes().to_vec()
}

fn mac(
    me: &Identity,
    side: Side,
    challenge: &[u8],
    nonce: &[u8],
    sender: &Peer,
    to: &InstanceId,
) -> Hmac<Sha256> {
    // Invariant: HMAC takes keys of any length.
    let mut mac = Hmac::<Sha256>::new_from_slice(&me.key).expect("HMAC takes any key");
    let mut part = |bytes: &[u8]| {
        mac.update(&(bytes.len() as u64).to_be_bytes());
        mac.update(bytes);
    };
    part(&[side as u8]);
    part(challenge);
    part(nonce);
    part(sender.id.as_str().as_bytes());
    part(&sender.incarnation.to_be_bytes());
    part(&[match sender.role {
        PeerRole::Router => 0,
        PeerRole::Agent => 1,
    }]);
    part(to.as_str().as_bytes());
    mac
}
