use std::rc::Rc;

use bytes::Bytes;
use http::{request, Response};
use tokio::sync::oneshot;

use super::answer_body::AnswerBody;
use crate::logic::direct::DirectRequest;
use crate::logic::Event;

/// What the tasks of a process tell its actor.
pub(super) enum LinkEvent {
    /// An event for the reducer.
    Step(Event),
    /// A caller's request, with the way back.
    Request {
        /// What decisions need.
        call: Box<DirectRequest>,
        /// Everything else.
        whole: Rc<CallerCall>,
        /// Takes the answer.
        reply: oneshot::Sender<Response<AnswerBody>>,
    },
    /// Somebody wants this process's figures.
    Figures(oneshot::Sender<String>),
}

/// A caller's request as it came.
pub(super) struct CallerCall {
    /// Its head.
    pub head: request::Parts,
    /// Its body.
    pub body: Bytes,
    /// Its label.
    pub label: String,
}
