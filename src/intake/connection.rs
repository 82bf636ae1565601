use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use http::header::CONNECTION;
use http::{HeaderValue, Response};
use http_body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::HttpService;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::{drain_unread, ClientStream, Place};

/// A connection of a client, as its requests see it.
pub(crate) struct Connection {
    /// Its place.
    pub place: Place,
    /// Whether a body comes in, whose reader notices that the connection is displaced.
    pub reads_body: Cell<bool>,
    /// Whether a request was refused before it was read to its end.
    pub is_unread: Cell<bool>,
    /// Whether the connection is reset at its end.
    pub is_reset: Cell<bool>,
}

impl Connection {
    /// A connection that has sent nothing.
    pub fn new(place: Place) -> Rc<Self> {
        Rc::new(Self {
            place,
            reads_body: Cell::new(false),
            is_unread: Cell::new(false),
            is_reset: Cell::new(false),
        })
    }

    /// Serves the requests of a connection until it ends, gives way, or has been idle for too long. After
    /// `closing` it ends with the present request.
    ///
    /// # Errors
    /// Returns the error that has ended it.
    pub async fn serve<S, B>(
        self: Rc<Self>,
        stream: TcpStream,
        builder: &http1::Builder,
        service: S,
        idle_time: Duration,
        closing: &Notify,
    ) -> hyper::Result<()>
    where
        S: HttpService<Incoming, ResBody = B> + Unpin,
        S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
        S::Future: Unpin,
        B: Body + 'static,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let io = TokioIo::new(ClientStream::new(stream, idle_time));
        let mut served = builder.serve_connection(io, service);
        let mut is_displaced = false;
        let ended = loop {
            tokio::select! {
                // The answers have been written when it ends: `poll_without_shutdown` doesn't wait for that.
                ended = &mut served => break ended,
                () = closing.notified() => Pin::new(&mut served).graceful_shutdown(),
                () = self.place.displaced(), if !is_displaced => {
                    if !self.reads_body.get() {
                        return Ok(());
                    }
                    is_displaced = true;
                }
            }
        };
        let is_broken_off = ended.as_ref().is_err_and(hyper::Error::is_user);
        let stream = served.into_parts().io.into_inner();
        if is_broken_off && self.is_reset.get() {
            // An error means that the connection has ended already.
            let _ = stream.get_ref().set_zero_linger();
        } else if self.is_unread.get() && ended.is_ok() {
            tokio::select! {
                () = drain_unread(stream) => {}
                () = self.place.displaced() => {}
            }
        }
        ended
    }
}

/// Makes the connection close after an answer.
pub(crate) fn closing<B>(mut response: Response<B>) -> Response<B> {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}
