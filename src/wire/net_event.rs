use crate::logic::Peer;
use crate::message::Message;
use crate::types::InstanceId;

/// What the network tells a process.
#[derive(Clone, Debug)]
pub enum NetEvent {
    /// A session has opened, perhaps in place of one that is now closed.
    Up(Peer),
    /// The last session with a peer has closed.
    Down(InstanceId),
    /// A message has arrived.
    Message {
        /// Sender.
        from: Peer,
        /// The message.
        message: Message,
    },
    /// A session was refused.
    Refused {
        /// Address or instance at the other end.
        peer: String,
        /// Why.
        why: String,
    },
}
