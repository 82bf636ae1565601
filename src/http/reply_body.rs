use std::any::Any;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use super::sse_body::SseBody;

/// Body of an answer.
pub(super) struct ReplyBody {
    kind: ReplyKind,
    /// What is dropped once the answer is complete.
    _held: Option<Box<dyn Any>>,
}

enum ReplyKind {
    /// The complete body; none once it has been written.
    Whole(Option<Bytes>),
    /// A stream of events.
    Stream(SseBody),
}

impl ReplyBody {
    /// A complete body.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self {
            kind: ReplyKind::Whole(Some(bytes.into())),
            _held: None,
        }
    }

    /// A stream of events.
    pub fn stream(events: SseBody) -> Self {
        Self {
            kind: ReplyKind::Stream(events),
            _held: None,
        }
    }

    /// The same body, which keeps a value until the answer is complete.
    pub fn holding(self, held: impl Any) -> Self {
        Self {
            _held: Some(Box::new(held)),
            ..self
        }
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let next = match &mut self.kind {
            ReplyKind::Whole(bytes) => Poll::Ready(bytes.take()),
            ReplyKind::Stream(events) => events.poll_event(cx),
        };
        next.map(|bytes| bytes.map(|b| Ok(Frame::data(b))))
    }

    fn is_end_stream(&self) -> bool {
        match &self.kind {
            ReplyKind::Whole(bytes) => bytes.is_none(),
            ReplyKind::Stream(events) => events.has_ended(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.kind {
            ReplyKind::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            ReplyKind::Stream(_) => SizeHint::default(),
        }
    }
}
