use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::sync::mpsc::UnboundedReceiver;

/// Part of a stream for a caller.
pub(super) enum Piece {
    /// Bytes of it.
    Bytes(Bytes),
    /// It is complete.
    End,
}

/// Tells that a caller has left, unless its answer was finished before.
pub(super) struct LeftGuard {
    left: Option<Box<dyn FnOnce()>>,
}

impl LeftGuard {
    /// A guard that calls `left` when it is dropped.
    pub fn new(left: impl FnOnce() + 'static) -> Self {
        Self {
            left: Some(Box::new(left)),
        }
    }

    /// The answer is finished: nothing is told any more.
    pub fn disarm(&mut self) {
        self.left = None;
    }
}

impl Drop for LeftGuard {
    fn drop(&mut self) {
        if let Some(left) = self.left.take() {
            left();
        }
    }
}

/// Body of an answer for a caller.
pub(super) enum AnswerBody {
    /// It is there.
    Whole(Option<Bytes>),
    /// It comes piece by piece; the end of the channel breaks it off.
    Pieces {
        /// Where pieces come from.
        pieces: UnboundedReceiver<Piece>,
        /// Tells that the caller has left.
        guard: LeftGuard,
        /// Whether the end has been given out.
        ended: bool,
    },
}

/// The stream was broken off before its end.
#[derive(Debug, displaydoc::Display)]
pub(super) enum BrokenOff {
    /// the stream was broken off before its end
    Cut,
}

impl std::error::Error for BrokenOff {}

impl From<Infallible> for BrokenOff {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match self.get_mut() {
            AnswerBody::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            AnswerBody::Pieces { ended: true, .. } => Poll::Ready(None),
            AnswerBody::Pieces {
                pieces,
                guard,
                ended,
                ..
            } => match pieces.poll_recv(cx) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(Some(Piece::Bytes(bytes))) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                Poll::Ready(Some(Piece::End)) => {
                    *ended = true;
                    guard.disarm();
                    Poll::Ready(None)
                }
                Poll::Ready(None) => {
                    *ended = true;
                    guard.disarm();
                    Poll::Ready(Some(Err(BrokenOff::Cut)))
                }
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Whole(bytes) => bytes.is_none(),
            AnswerBody::Pieces { ended, .. } => *ended,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(Some(bytes)) => SizeHint::with_exact(bytes.len() as u64),
            AnswerBody::Whole(None) => SizeHint::with_exact(0),
            AnswerBody::Pieces { .. } => SizeHint::default(),
        }
    }
}
