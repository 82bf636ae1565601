use std::sync::mpsc::Sender;

use crate::logic::router::{AnswerPart, CallerRequest, OperatorCall, OperatorReply};
use crate::logic::Event;

/// What the threads of a process tell its actor.
pub enum HostEvent {
    /// An event for the reducer.
    Step(Event),
    /// A caller's request, with the way back.
    Request {
        /// The request.
        call: Box<CallerRequest>,
        /// Takes the parts of the answer.
        reply: Sender<AnswerPart>,
    },
    /// An operator's call, with the way back.
    Operator {
        /// The call.
        call: OperatorCall,
        /// Takes the reply.
        reply: Sender<OperatorReply>,
    },
    /// A question about the process itself, with the way back.
    Inspect {
        /// The question.
        what: Inspect,
        /// Takes the answer.
        reply: Sender<serde_json::Value>,
    },
    /// A session was refused.
    Refused {
        /// The other end.
        peer: String,
        /// Why.
        why: String,
    },
    /// End at once, without leaving in order; for tests of lost processes.
    Halt,
}

/// A question about the process itself.
pub enum Inspect {
    /// Logged events that mention a subject.
    Events(String),
    /// Rows of the histograms.
    Metrics,
}
