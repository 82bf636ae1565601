use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use crate::logic::router::{AnswerPart, CallerRequest, OperatorCall, OperatorReply};
use crate::logic::Event;

/// An event that a thread of the process sends to its actor.
pub enum HostEvent {
    /// An event for the reducer.
    Step(Event),
    /// A caller's request, with the channel for its answer.
    Request {
        /// The request.
        call: Box<CallerRequest>,
        /// Receives the parts of the answer.
        reply: UnboundedSender<AnswerPart>,
    },
    /// An operator's call, with the channel for its reply.
    Operator {
        /// The call.
        call: OperatorCall,
        /// Receives the reply.
        reply: oneshot::Sender<OperatorReply>,
    },
    /// A query about the process itself, with the channel for its result.
    Inspect {
        /// The query.
        what: Inspect,
        /// Receives the result.
        reply: oneshot::Sender<serde_json::Value>,
    },
    /// A session with another process was refused.
    SessionRefused {
        /// The other process.
        peer: String,
        /// The reason.
        reason: String,
    },
    /// Ends the actor at once, without a shutdown; for tests of lost processes.
    Halt,
}

/// A query about the process itself.
pub enum Inspect {
    /// Recent log events that mention a subject.
    Events(String),
    /// Rows of the histograms.
    Metrics,
}
