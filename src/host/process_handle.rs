use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Duration;

use super::{HostEvent, Inbox};
use crate::http::HttpServer;
use crate::logic::Event;
use crate::wire::Net;

/// Longest time that the shutdown waits for answers to be written.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(10);

/// Longest time that the shutdown waits for queued messages to other processes to be sent.
const MAX_MESSAGE_TIME: Duration = Duration::from_secs(2);

/// Addresses that a process listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Listener for other processes of the fleet.
    pub peers: SocketAddr,
    /// Listener for callers; routers only.
    pub callers: Option<SocketAddr>,
    /// Listener for operators; routers only.
    pub operators: Option<SocketAddr>,
}

/// Handle of a router or an agent that runs on threads of this process.
pub struct ProcessHandle {
    pub(super) addresses: Addresses,
    pub(super) inbox: Inbox,
    pub(super) thread: JoinHandle<()>,
    pub(super) servers: Vec<HttpServer>,
    pub(super) net: Net,
}

impl ProcessHandle {
    /// Addresses that it listens on.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Asks it to shut down.
    pub fn stop(&self) {
        self.inbox.send(HostEvent::Step(Event::Stop));
    }

    /// The inbox of its actor.
    pub fn inbox(&self) -> Inbox {
        self.inbox.clone()
    }

    /// Waits until its actor has ended, then, for a bounded time, until all answers and queued
    /// messages are sent.
    pub fn wait(self) {
        if self.thread.join().is_err() {
            log::error!(target: "runrail", "the actor thread panicked");
        }
        for server in &self.servers {
            server.drain(MAX_ANSWER_TIME);
        }
        self.net.shutdown(MAX_MESSAGE_TIME);
    }
}
