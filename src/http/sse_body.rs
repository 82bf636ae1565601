use std::task::{Context, Poll};

use bytes::Bytes;
use serde_json::{json, Value};
use tokio::sync::mpsc::UnboundedReceiver;

use super::{problem_json, CallerGuard};
use crate::logic::router::{AnswerPart, Problem};

/// A streamed answer as server-sent events of the chat-completions API.
pub(super) struct SseBody {
    request: String,
    model: String,
    /// A part that was received before the stream began.
    first: Option<AnswerPart>,
    parts: UnboundedReceiver<AnswerPart>,
    guard: CallerGuard,
    has_ended: bool,
}

impl SseBody {
    /// A stream that begins with `first`; `guard` tells that its caller has disconnected.
    pub fn new(
        request: &str,
        model: &str,
        first: AnswerPart,
        parts: UnboundedReceiver<AnswerPart>,
        guard: CallerGuard,
    ) -> Self {
        Self {
            request: request.to_string(),
            model: model.to_string(),
            first: Some(first),
            parts,
            guard,
            has_ended: false,
        }
    }

    /// Whether all events have been taken.
    pub fn has_ended(&self) -> bool {
        self.has_ended
    }

    /// The next event; none after the last one.
    pub fn poll_event(&mut self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        if self.has_ended {
            return Poll::Ready(None);
        }
        let part = match self.first.take() {
            Some(part) => Poll::Ready(Some(part)),
            None => self.parts.poll_recv(cx),
        };
        let Poll::Ready(part) = part else {
            return Poll::Pending;
        };
        let part = part.unwrap_or_else(|| AnswerPart::Problem(CallerGuard::router_stopped()));
        if !matches!(part, AnswerPart::Piece(_)) {
            self.has_ended = true;
            self.guard.disarm();
        }
        Poll::Ready(Some(self.event(&part).into()))
    }

    fn event(&self, part: &AnswerPart) -> String {
        match part {
            AnswerPart::Piece(text) => self.chunk(&json!({ "content": text }), None),
            AnswerPart::End { .. } => {
                let last = self.chunk(&json!({}), Some("stop"));
                format!("{last}data: [DONE]\n\n")
            }
            AnswerPart::Problem(problem) => self.problem(problem),
        }
    }

    /// A problem; no `[DONE]` follows, so that the caller can't take the answer for a complete one.
    fn problem(&self, problem: &Problem) -> String {
        let body = json!(problem_json(problem, Some(&self.request)));
        format!("event: error\ndata: {body}\n\n")
    }

    fn chunk(&self, delta: &Value, finish: Option<&str>) -> String {
        let body = json!({
            "id": self.request,
            "object": "chat.completion.chunk",
            "model": self.model,
            "choices": [{ "index": 0, "delta": delta, "finish_reason": finish }],
        });
        format!("data: {body}\n\n")
    }
}
