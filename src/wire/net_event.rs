use crate::logic::Peer;
use crate::message::Message;
use crate::types::InstanceId;

/// Event of the sessions of a process.
#[derive(Clone, Debug)]
pub enum NetEvent {
    /// A session was opened; it may replace an earlier one with the same peer.
    Connected(Peer),
    /// The last session with a peer was closed.
    Disconnected(InstanceId),
    /// A message was received.
    Message {
        /// Sender.
        from: Peer,
        /// The message.
        message: Message,
    },
    /// A session could not be opened, or was refused by one of the sides.
    SessionRefused {
        /// Address of a process that connected, or instance that was dialled.
        peer: String,
        /// Reason.
        reason: String,
    },
}
