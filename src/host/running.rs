use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Duration;

use super::{HostEvent, Inbox};
use crate::http::HttpServer;
use crate::logic::Event;
use crate::wire::Net;

/// Time for the last bytes of answers to be written.
const LAST_BYTES: Duration = Duration::from_secs(10);

/// Time for the last messages to other processes to be sent.
const LAST_MESSAGES: Duration = Duration::from_secs(2);

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
    pub(super) servers: Vec<HttpServer>,
    pub(super) net: Net,
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

    /// Waits until it has ended and its callers have their whole answers.
    pub fn wait(self) {
        if self.thread.join().is_err() {
            log::error!(target: "runrail", "the actor ended by a broken invariant");
        }
        for server in &self.servers {
            server.finish(LAST_BYTES);
        }
        self.net.finish(LAST_MESSAGES);
    }
}
