use std::sync::mpsc::{channel, Receiver, Sender};

use super::HostEvent;

/// The way to the actor of a process, from any thread.
#[derive(Clone)]
pub struct Inbox {
    sender: Sender<HostEvent>,
}

impl Inbox {
    /// An inbox and the end that its actor reads.
    pub fn new() -> (Self, Receiver<HostEvent>) {
        let (sender, receiver) = channel();
        (Self { sender }, receiver)
    }

    /// Sends an event; after the end of the actor it is dropped.
    pub fn send(&self, event: HostEvent) {
        let _ = self.sender.send(event);
    }
}
