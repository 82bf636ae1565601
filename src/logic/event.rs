use super::direct::DirectEvent;
use super::router::{CallId, CallerRequest, ListReply, OperatorCall, StoreChange, StoreResult};
use super::{EndpointEvent, Peer};
use crate::message::Message;
use crate::types::{InstanceId, RequestId};

/// Everything a node reacts to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time has passed; comes at least every [`TICK_MS`](Event::TICK_MS).
    Tick,
    /// The process was asked to stop in order.
    Stop,
    /// A session with a peer has opened.
    Up(Peer),
    /// The last session with a peer has closed.
    Down(InstanceId),
    /// A message has arrived.
    Message {
        /// Its sender.
        from: Peer,
        /// The message.
        message: Message,
    },
    /// The endpoint beside an agent has answered.
    Endpoint(EndpointEvent),
    /// The platform's key-value service has answered, or hasn't.
    Store {
        /// Which call.
        call: CallId,
        /// Its result.
        result: StoreResult,
    },
    /// A watch has reported changes, in order.
    Watch(Vec<StoreChange>),
    /// The watch was interrupted: changes may have been missed.
    WatchLost,
    /// The instance list has arrived.
    List(ListReply),
    /// A caller has sent a request.
    Request(Box<CallerRequest>),
    /// A caller has hung up.
    Gone(RequestId),
    /// An operator asks for something.
    Operator {
        /// Number of the operator's call, echoed in the reply.
        job: u64,
        /// What is asked.
        call: OperatorCall,
    },
    /// Something about direct links.
    Direct(DirectEvent),
}

impl Event {
    /// Longest time between two ticks of a running process, in milliseconds.
    pub const TICK_MS: u64 = 50;
}
