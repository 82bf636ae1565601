use std::rc::Rc;

use bytes::Bytes;
use http::{request, Response};
use tokio::sync::oneshot;

use super::answer_body::AnswerBody;
use crate::logic::direct::{DirectRequest, ListSnapshot};
use crate::logic::Event;

/// An event that a task of the process sends to its actor.
pub(super) enum LinkEvent {
    /// An event for the reducer.
    Step(Event),
    /// A caller's request and the channel for its answer.
    Request {
        /// The part of the request that the reducer reads.
        call: Box<DirectRequest>,
        /// The request as it was received.
        received: Rc<ReceivedRequest>,
        /// Receives the answer.
        reply: oneshot::Sender<Response<AnswerBody>>,
    },
    /// The head of a caller's request, whose body hasn't been read.
    Head {
        /// The request without its body.
        call: Box<DirectRequest>,
        /// Receives whether the request is refused whatever its body is.
        reply: oneshot::Sender<bool>,
    },
    /// Another router asks for a snapshot of the endpoint list.
    Snapshot(oneshot::Sender<Option<ListSnapshot>>),
    /// A scrape of the metrics of this process.
    Metrics(oneshot::Sender<String>),
}

/// A caller's request as it was received.
pub(super) struct ReceivedRequest {
    /// Request line and headers.
    pub head: request::Parts,
    /// The complete body.
    pub body: Bytes,
    /// The caller's id of the request, empty if it sent none; an endpoint echoes it.
    pub label: String,
}
