//! Datagrams between routers.

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::UdpSocket;

use super::shared::Shared;
use crate::logic::direct::{DirectEvent, PeerMessage};

/// Longest datagram, in bytes.
const LONGEST: usize = 1_400;

/// Receives for ever; what can't be read is dropped.
pub(super) async fn receive(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    let mut buffer = [0; LONGEST];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            tokio::task::yield_now().await;
            continue;
        };
        if let Ok(message) = ciborium::from_reader(&buffer[..length]) {
            shared.tell(DirectEvent::Peer { from, message });
        }
    }
}

/// Sends a datagram; it may be lost.
pub(super) fn tell(shared: &Shared, to: SocketAddr, message: &PeerMessage) {
    let mut bytes = Vec::new();
    let socket = shared.peers.borrow();
    if let (Some(socket), Ok(())) = (&*socket, ciborium::into_writer(message, &mut bytes)) {
        // A datagram that can't be sent now is one that was lost.
        let _ = socket.try_send_to(&bytes, to);
    }
}
