use std::sync::mpsc::{channel, Receiver, Sender};

use super::HostEvent;

/// Sends events to the actor of a process, from any thread.
#[derive(Clone)]
pub struct Inbox {
    sender: Sender<HostEvent>,
}

impl Inbox {
    /// Creates an inbox and the receiver that its actor reads.
    pub fn new() -> (Self, Receiver<HostEvent>) {
        let (sender, receiver) = channel();
        (Self { sender }, receiver)
    }

    /// Sends an event; it is dropped if the actor has ended.
    pub fn send(&self, event: HostEvent) {
        let _ = self.sender.send(event);
    }
}
