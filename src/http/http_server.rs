use std::convert::Infallible;
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::request::Parts;
use http::{Request, Response};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioTimer;
use tokio::sync::Notify;
use tokio::task::LocalSet;

use super::{ReplyBody, ServerLimits};
use crate::intake::{
    closing, read_body, BodyFault, BodyLimits, Connection, Gate, LimitCounts, ServedBody,
};
use crate::logic::router::Problem;

/// Longest time between two requests of a connection, without any bytes of a body, and for a part of an answer
/// to be taken.
const IDLE_TIME: Duration = Duration::from_secs(15);

/// Longest time for the body of a request without a deadline.
const MAX_BODY_TIME: Duration = Duration::from_secs(150);

/// Longest head of a request.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Time to come back for the client of a request that found no place, in milliseconds.
const RETRY_MS: u64 = 1_000;

/// Time that the last answers have to reach their connections.
const FLUSH_TIME: Duration = Duration::from_millis(20);

/// Serves HTTP requests on a thread of its own; connections, open requests and their memory are limited.
pub(crate) struct HttpServer {
    addr: SocketAddr,
    open_requests: Arc<AtomicUsize>,
}

/// A request whose head was accepted.
pub(super) struct Checked<H> {
    /// What its answer needs.
    pub head: H,
    /// Longest time that its client waits; none if it doesn't say.
    pub wait: Option<Duration>,
}

/// What the connections of a server share.
struct Server<C, A> {
    limits: ServerLimits,
    open_requests: Arc<AtomicUsize>,
    check: C,
    answer: A,
}

impl HttpServer {
    /// Listens and serves requests: `check` accepts or refuses a request by its head, and `answer` gets the body
    /// of an accepted one, or why it couldn't be read.
    ///
    /// # Errors
    /// Returns the error of the listening socket or of the thread that serves requests.
    pub(super) fn start<H, C, A, F>(
        listen: SocketAddr,
        limits: ServerLimits,
        counts: Arc<LimitCounts>,
        check: C,
        answer: A,
    ) -> std::io::Result<Self>
    where
        H: 'static,
        C: Fn(&Parts) -> Result<Checked<H>, Box<Response<ReplyBody>>> + Send + 'static,
        A: Fn(H, Result<Bytes, Problem>) -> F + Send + 'static,
        F: Future<Output = Response<ReplyBody>> + 'static,
    {
        let listener = TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let open_requests = Arc::new(AtomicUsize::new(0));
        let gate = Gate::new(limits.listener, limits.intake, counts);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let counter = open_requests.clone();
        std::thread::Builder::new()
            .name("http".into())
            .spawn(move || {
                let server = Rc::new(Server {
                    limits,
                    open_requests: counter,
                    check,
                    answer,
                });
                LocalSet::new().block_on(&runtime, server.serve(listener, gate))
            })?;
        Ok(Self {
            addr,
            open_requests,
        })
    }

    /// Waits until all open requests are answered, at most for `limit`.
    pub fn drain(&self, limit: Duration) {
        let start = Instant::now();
        while self.open_requests.load(Ordering::SeqCst) > 0 && start.elapsed() < limit {
            std::thread::sleep(Duration::from_millis(5));
        }
        std::thread::sleep(FLUSH_TIME);
    }

    /// Listening address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl<H, C, A, F> Server<C, A>
where
    H: 'static,
    C: Fn(&Parts) -> Result<Checked<H>, Box<Response<ReplyBody>>> + 'static,
    A: Fn(H, Result<Bytes, Problem>) -> F + 'static,
    F: Future<Output = Response<ReplyBody>> + 'static,
{
    /// Serves connections until the process ends.
    async fn serve(self: Rc<Self>, listener: TcpListener, gate: Gate) {
        let listener = match tokio::net::TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(e) => return log::error!(target: "runrail", "a listener can't be used: {e}"),
        };
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE_TIME)
            .max_buf_size(MAX_HEAD_BYTES);
        loop {
            let (stream, place) = gate.accept(&listener).await;
            // An error is ignored: without TCP_NODELAY answers are only delayed.
            let _ = stream.set_nodelay(true);
            let connection = Connection::new(place);
            let (server, requests) = (self.clone(), connection.clone());
            let service = service_fn(move |request: Request<Incoming>| {
                let (server, connection) = (server.clone(), requests.clone());
                Box::pin(async move {
                    Ok::<_, Infallible>(server.on_request(&connection, request).await)
                })
            });
            let builder = builder.clone();
            tokio::task::spawn_local(async move {
                // The listener is open until the process ends.
                let never = Notify::new();
                let served = connection.serve(stream, &builder, service, IDLE_TIME, &never);
                // A disconnect drops the requests of this connection, which report it.
                let _ = served.await;
            });
        }
    }

    async fn on_request(
        &self,
        connection: &Connection,
        request: Request<Incoming>,
    ) -> Response<ServedBody<ReplyBody>> {
        let (head, mut body) = request.into_parts();
        let checked = match (self.check)(&head) {
            Ok(checked) => checked,
            Err(refusal) => {
                let is_unread = !body.is_end_stream();
                connection.is_unread.set(is_unread);
                let refusal = refusal.map(|body| ServedBody::new(body, None));
                return if is_unread { closing(refusal) } else { refusal };
            }
        };
        let read = self.read(connection, &mut body, checked.wait).await;
        // A place of a request is taken only by one that is complete.
        let opened = read.and_then(|bytes| Ok((bytes, self.open_request(connection)?)));
        let is_last = connection.is_unread.get();
        let serving = connection.place.serve();
        let (bytes, open) = match opened {
            Ok((bytes, open)) => (Ok(bytes), Some(open)),
            Err(problem) => (Err(problem), None),
        };
        // The memory counts until the answer is complete.
        let held = (bytes.as_ref().ok().cloned(), open);
        let response = (self.answer)(checked.head, bytes).await;
        let response = response.map(|body| ServedBody::new(body.holding(held), Some(serving)));
        match is_last {
            true => closing(response),
            false => response,
        }
    }

    /// Takes a place of an open request.
    ///
    /// # Errors
    /// Returns the problem for the client if there is none.
    fn open_request(&self, connection: &Connection) -> Result<OpenRequest, Problem> {
        let limit = self.limits.open_requests;
        if self.open_requests.load(Ordering::SeqCst) >= limit {
            connection.place.count("open_requests");
            let detail = format!("this router has reached its limit of {limit} open requests");
            return Err(Problem::not_run(503, detail).with_retry(RETRY_MS));
        }
        self.open_requests.fetch_add(1, Ordering::SeqCst);
        Ok(OpenRequest(self.open_requests.clone()))
    }

    /// Reads the body of a request.
    ///
    /// # Errors
    /// Returns the problem for its client if it isn't complete within the limits.
    async fn read(
        &self,
        connection: &Connection,
        body: &mut Incoming,
        wait: Option<Duration>,
    ) -> Result<Bytes, Problem> {
        let limits = BodyLimits {
            max_bytes: self.limits.body_bytes,
            idle_time: IDLE_TIME,
            wait_time: wait.unwrap_or(MAX_BODY_TIME),
        };
        connection.reads_body.set(true);
        let read = read_body(&connection.place, body, limits).await;
        connection.reads_body.set(false);
        read.map_err(|fault| {
            connection.is_unread.set(true);
            if let Some(limit) = fault.limit() {
                connection.place.count(limit);
            }
            self.body_problem(&fault)
        })
    }

    fn body_problem(&self, fault: &BodyFault) -> Problem {
        match fault {
            BodyFault::TooLong => {
                let limit = self.limits.body_bytes;
                let detail = format!("the body is longer than the limit of {limit} bytes");
                Problem::not_run(413, detail)
            }
            BodyFault::NoRoom => {
                let detail = "there is no memory for the body: too many requests are open";
                Problem::not_run(503, detail).with_retry(RETRY_MS)
            }
            BodyFault::Stalled | BodyFault::Late => {
                Problem::not_run(408, "the body didn't arrive in time")
            }
            BodyFault::Broken(e) => {
                Problem::not_run(400, format!("the body couldn't be read: {e}"))
            }
        }
    }
}

/// Counts an open request until it is dropped.
struct OpenRequest(Arc<AtomicUsize>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
