use std::net::SocketAddr;
use std::thread::JoinHandle;

use super::{HostEvent, Inbox};
use crate::logic::Event;

/// Addresses that a process listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// For other processes of the fleet.
    pub peers: SocketAddr,
    /// For callers; routers only.
    pub callers: Option<SocketAddr>,
    /// For operators; routers only.
    pub operators: Option<SocketAddr>,
}

/// A router or an agent that runs on a thread of this process.
pub struct Running {
    pub(super) addresses: Addresses,
    pub(super) inbox: Inbox,
    pub(super) thread: JoinHandle<()>,
}

impl Running {
    /// Addresses it listens on.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Asks it to stop in order.
    pub fn stop(&self) {
        self.inbox.send(HostEvent::Step(Event::Stop));
    }

    /// The way to its actor.
    pub fn inbox(&self) -> Inbox {
        self.inbox.clone()
    }

    /// Waits until it has ended.
    pub fn wait(self) {
        if self.thread.join().is_err() {
            log::error!(target: "runrail", "the actor ended by a broken invariant");
        }
    }
}
