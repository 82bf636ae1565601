use std::pin::Pin;
use std::task::{Context, Poll};

use http_body::{Body, Frame, SizeHint};

use super::Serving;

/// Body of an answer; the connection doesn't give way until it has been written.
pub(crate) struct ServedBody<B> {
    body: B,
    _serving: Option<Serving>,
}

impl<B> ServedBody<B> {
    /// The body of an answer to a request that was read, or of a refusal without `serving`.
    pub fn new(body: B, serving: Option<Serving>) -> Self {
        Self {
            body,
            _serving: serving,
        }
    }
}

impl<B: Body + Unpin> Body for ServedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
