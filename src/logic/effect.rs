use std::net::SocketAddr;

use super::direct::DirectEffect;
use super::router::{AnswerPart, CallId, OperatorReply, StoreCall};
use super::{EndpointCall, LogEvent};
use crate::message::Message;
use crate::types::{InstanceId, RequestId};

/// An action that the host of a node carries out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Send a message on the session with a peer; it is dropped if there is no session.
    Send {
        /// Receiver.
        to: InstanceId,
        /// The message.
        message: Message,
    },
    /// Open a session and keep it open until [`Effect::CloseSession`].
    OpenSession {
        /// The peer.
        to: InstanceId,
        /// Its listening address.
        addr: SocketAddr,
    },
    /// Close a session and stop dialling.
    CloseSession(InstanceId),
    /// Call the platform's key-value service.
    Store {
        /// Call number, echoed with the result.
        call: CallId,
        /// The call.
        op: StoreCall,
    },
    /// Start or restart the watch of the key-value service.
    Watch {
        /// First revision to report.
        from: i64,
    },
    /// Fetch the instance list.
    FetchInstances,
    /// Send an order to the endpoint.
    Endpoint(EndpointCall),
    /// Pass the next part of an answer to its caller.
    Answer {
        /// The request.
        request: RequestId,
        /// The part.
        part: AnswerPart,
    },
    /// Reply to an operator.
    Reply {
        /// Number of the operator's call.
        job: u64,
        /// The reply.
        reply: OperatorReply,
    },
    /// Write an event to the log.
    Log(LogEvent),
    /// Record a duration or count in the metrics.
    RecordMetric {
        /// Which metric.
        metric: super::router::Metric,
        /// Client account that it is recorded for.
        account: std::sync::Arc<str>,
        /// Class that it is recorded for.
        class: std::sync::Arc<str>,
        /// A duration in milliseconds, or a count.
        value: u64,
    },
    /// An action on direct links.
    Direct(DirectEffect),
    /// Exit the process.
    Exit,
}
