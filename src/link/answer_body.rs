use std::cell::Cell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};

/// Part of a streamed answer for a caller.
pub(super) enum StreamPart {
    /// Bytes of the stream.
    Bytes(Bytes),
    /// The stream is complete.
    End,
}

/// Sends the parts of a streamed answer to its body.
pub(super) struct StreamSender {
    parts: UnboundedSender<StreamPart>,
    unread: Rc<Cell<usize>>,
}

impl StreamSender {
    /// Sends a part. It is lost if the caller has disconnected, which its guard reports.
    pub fn send(&self, part: StreamPart) {
        if let StreamPart::Bytes(bytes) = &part {
            self.unread.set(self.unread.get() + bytes.len());
        }
        let _ = self.parts.send(part);
    }

    /// Number of bytes that the caller's connection hasn't taken yet.
    pub fn unread(&self) -> usize {
        self.unread.get()
    }
}

/// Reports that a caller has disconnected when it is dropped before the answer was finished.
pub(super) struct DisconnectGuard {
    on_disconnect: Option<Box<dyn FnOnce()>>,
}

impl DisconnectGuard {
    /// Creates a guard that calls `on_disconnect` when it is dropped.
    pub fn new(on_disconnect: impl FnOnce() + 'static) -> Self {
        Self {
            on_disconnect: Some(Box::new(on_disconnect)),
        }
    }

    /// Stops the guard from reporting, as the answer is finished.
    pub fn disarm(&mut self) {
        self.on_disconnect = None;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if let Some(on_disconnect) = self.on_disconnect.take() {
            on_disconnect();
        }
    }
}

/// Body of an answer for a caller.
pub(super) enum AnswerBody {
    /// The complete body; none once it has been written.
    Whole(Option<Bytes>),
    /// A body that is streamed; it is aborted when the channel closes without an end.
    Stream {
        /// Receives the parts.
        parts: UnboundedReceiver<StreamPart>,
        /// Number of bytes of the parts that wait.
        unread: Rc<Cell<usize>>,
        /// Reports that the caller has disconnected.
        guard: DisconnectGuard,
        /// Whether the stream has ended or was aborted.
        ended: bool,
    },
}

impl AnswerBody {
    /// A body that is streamed, and what its parts are sent with.
    pub fn stream() -> (StreamSender, Self) {
        let (sender, parts) = mpsc::unbounded_channel();
        let unread = Rc::new(Cell::new(0));
        let body = AnswerBody::Stream {
            parts,
            unread: unread.clone(),
            guard: DisconnectGuard::new(|| {}),
            ended: false,
        };
        let sender = StreamSender {
            parts: sender,
            unread,
        };
        (sender, body)
    }
}

/// Error of a streamed body that ends early.
#[derive(Debug, displaydoc::Display)]
pub(super) enum StreamAborted {
    /// the stream was aborted before its end
    Incomplete,
}

impl std::error::Error for StreamAborted {}

impl From<Infallible> for StreamAborted {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        match self.get_mut() {
            AnswerBody::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            AnswerBody::Stream { ended: true, .. } => Poll::Ready(None),
            AnswerBody::Stream {
                parts,
                unread,
                guard,
                ended,
            } => match parts.poll_recv(cx) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(Some(StreamPart::Bytes(bytes))) => {
                    unread.set(unread.get().saturating_sub(bytes.len()));
                    Poll::Ready(Some(Ok(Frame::data(bytes))))
                }
                Poll::Ready(Some(StreamPart::End)) => {
                    *ended = true;
                    guard.disarm();
                    Poll::Ready(None)
                }
                Poll::Ready(None) => {
                    *ended = true;
                    guard.disarm();
                    Poll::Ready(Some(Err(StreamAborted::Incomplete)))
                }
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Whole(bytes) => bytes.is_none(),
            AnswerBody::Stream { ended, .. } => *ended,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(Some(bytes)) => SizeHint::with_exact(bytes.len() as u64),
            AnswerBody::Whole(None) => SizeHint::with_exact(0),
            AnswerBody::Stream { .. } => SizeHint::default(),
        }
    }
}
