use super::direct::DirectEvent;
use super::router::{CallId, CallerRequest, ListReply, OperatorCall, StoreChange, StoreResult};
use super::{EndpointEvent, Peer};
use crate::message::Message;
use crate::types::{InstanceId, RequestId};

/// An input of a node's state machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Periodic tick, at least every [`TICK_MS`](Event::TICK_MS).
    Tick,
    /// The process was asked to shut down gracefully.
    Stop,
    /// A session with a peer has opened.
    SessionOpened(Peer),
    /// The last session with a peer has closed.
    SessionClosed(InstanceId),
    /// A message has arrived.
    Message {
        /// Its sender.
        from: Peer,
        /// The message.
        message: Message,
    },
    /// The agent's endpoint has reported an event.
    Endpoint(EndpointEvent),
    /// A call of the platform's key-value service has been answered or has failed.
    Store {
        /// Number of the call.
        call: CallId,
        /// Its result.
        result: StoreResult,
    },
    /// The watch of the key-value service has reported changes, in order.
    Watch(Vec<StoreChange>),
    /// The watch was interrupted: changes may have been missed.
    WatchInterrupted,
    /// The instance list has arrived.
    Instances(ListReply),
    /// A caller has sent a request.
    Request(Box<CallerRequest>),
    /// A caller has closed its connection before the end of its answer.
    CallerGone(RequestId),
    /// An operator has made a call.
    Operator {
        /// Number of the operator's call, echoed in the reply.
        job: u64,
        /// The call.
        call: OperatorCall,
    },
    /// An event of direct links.
    Direct(DirectEvent),
}

impl Event {
    /// Longest time between two ticks of a running process, in milliseconds.
    pub const TICK_MS: u64 = 50;
}
