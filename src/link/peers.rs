//! Messages between routers, as datagrams.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;

use super::shared::Shared;
use crate::logic::direct::{DirectEvent, PeerMessage};

/// Longest datagram that is received.
const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Pause after a datagram couldn't be received.
const RECEIVE_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Receives messages until the process ends; invalid ones are dropped.
pub(super) async fn receive(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(RECEIVE_RETRY_PAUSE).await;
            continue;
        };
        if let Ok(message) = ciborium::from_reader(&buffer[..length]) {
            shared.send_direct(DirectEvent::PeerMessage { from, message });
        }
    }
}

/// Sends a message; it may be lost.
pub(super) fn send(shared: &Shared, to: SocketAddr, message: &PeerMessage) {
    let mut bytes = Vec::new();
    let socket = shared.peers.borrow();
    if let (Some(socket), Ok(())) = (&*socket, ciborium::into_writer(message, &mut bytes)) {
        // A datagram that can't be sent now counts as lost.
        let _ = socket.try_send_to(&bytes, to);
    }
}
