use std::net::SocketAddr;

use super::direct::DirectEffect;
use super::router::{AnswerPart, CallId, OperatorReply, StoreCall};
use super::{EndpointCall, Note};
use crate::message::Message;
use crate::types::{InstanceId, RequestId};

/// What the host of a node has to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Send a message on the session with a peer; dropped where there is none.
    Send {
        /// Receiver.
        to: InstanceId,
        /// The message.
        message: Message,
    },
    /// Open a session and keep it open until [`Effect::Hangup`].
    Dial {
        /// The peer.
        to: InstanceId,
        /// Where it listens.
        addr: SocketAddr,
    },
    /// Close a session and stop dialling.
    Hangup(InstanceId),
    /// Call the platform's key-value service.
    Store {
        /// Number echoed with the result.
        call: CallId,
        /// The call.
        op: StoreCall,
    },
    /// Start the watch again from what was read last.
    Watch {
        /// First revision to report.
        from: i64,
    },
    /// Fetch the instance list.
    FetchList,
    /// Order something of the endpoint.
    Endpoint(EndpointCall),
    /// Give a caller the next part of its answer.
    Answer {
        /// The request.
        request: RequestId,
        /// The part.
        part: AnswerPart,
    },
    /// Answer an operator.
    Reply {
        /// The operator's call.
        job: u64,
        /// The reply.
        reply: OperatorReply,
    },
    /// Write an event to the log.
    Note(Note),
    /// Record a duration or count in the metrics.
    Measure {
        /// Which metric.
        metric: super::router::Metric,
        /// Client account.
        account: std::sync::Arc<str>,
        /// Class.
        class: std::sync::Arc<str>,
        /// Milliseconds or a count.
        value: u64,
    },
    /// Something about direct links.
    Direct(DirectEffect),
    /// End the process in order.
    Exit,
}
