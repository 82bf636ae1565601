use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Most bytes that are read until the head of an answer is complete, interim answers included.
const MAX_HEAD_BYTES: usize = 256 * 1024;

/// A TCP stream that fails if more bytes come than a head may have while one is awaited.
///
/// The HTTP client bounds each head, but not how many interim answers come before the final one.
pub(super) struct LimitedStream {
    stream: TcpStream,
    head: HeadLimit,
}

/// Bytes that may still come until the head of an answer is complete; none if no head is awaited.
#[derive(Clone, Default)]
pub(super) struct HeadLimit {
    left: Rc<Cell<Option<usize>>>,
}

impl HeadLimit {
    /// Begins to count, as a request is sent.
    pub fn begin(&self) {
        self.left.set(Some(MAX_HEAD_BYTES));
    }

    /// Stops counting, as the head is complete.
    pub fn end(&self) {
        self.left.set(None);
    }

    /// Counts bytes that were read.
    ///
    /// # Errors
    /// Returns an error if more have come than the head may have.
    fn count(&self, bytes: usize) -> io::Result<()> {
        let Some(left) = self.left.get() else {
            return Ok(());
        };
        let Some(left) = left.checked_sub(bytes) else {
            let why = format!("no complete head in {MAX_HEAD_BYTES} bytes");
            return Err(io::Error::new(io::ErrorKind::InvalidData, why));
        };
        self.left.set(Some(left));
        Ok(())
    }
}

impl LimitedStream {
    /// Wraps a stream.
    pub fn new(stream: TcpStream, head: HeadLimit) -> Self {
        Self { stream, head }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        Poll::Ready(self.head.count(buffer.filled().len() - before))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
