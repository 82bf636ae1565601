//! Connections of callers: accepts them, reads requests and writes answers.

use std::cell::Cell;
use std::convert::Infallible;
use std::error::Error;
use std::io::{self, ErrorKind};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::request::Parts;
use http::{Request, Response, StatusCode, Version};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioTimer;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;

use super::answer_body::{AnswerBody, DisconnectGuard};
use super::link_event::{LinkEvent, ReceivedRequest};
use super::run_direct::log_event;
use super::shared::Shared;
use crate::intake::{closing, read_body, BodyFault, BodyLimits, Connection, Place, ServedBody};
use crate::logic::direct::{DirectEvent, DirectRequest, Excess, Problem};
use crate::logic::LogCode;
use crate::types::Millis;

/// Smallest read buffer of a connection, which bounds the heads of its requests.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// The buffer is the limit of heads at the opening of a connection times this, so that the reducer can
/// judge a head by the limit in force.
const BUFFER_FACTOR: usize = 2;

/// Most headers of a request. The routing limits only their size; room for more costs each request
/// processor time.
const MAX_HEADERS: usize = 256;

/// Bytes of a header besides its name and its value.
const HEADER_FRAME_BYTES: usize = 4;

/// Bytes of a request line besides the method and the path.
const LINE_FRAME_BYTES: usize = 12;

/// Time to come back for the caller of a request that broke off, if it still reads an answer.
const BROKEN_BODY_MS: Millis = 100;

/// Longest body that is read without asking first whether the request is refused by its head.
const SMALL_BODY_BYTES: u64 = 8 * 1024;

/// Longest time for a body whose caller doesn't say how long it waits, in multiples of the idle time.
const MAX_BODY_IDLE_TIMES: u32 = 10;

/// Accepts connections until the reducer closes the listener.
pub(super) async fn serve(shared: Rc<Shared>, listener: TcpListener) {
    let next_id = Rc::new(Cell::new(1));
    while !shared.closed.get() {
        let (stream, place) = tokio::select! {
            accepted = shared.callers_gate.accept(&listener) => accepted,
            () = shared.close_listener.notified() => return,
        };
        let (shared, next_id) = (shared.clone(), next_id.clone());
        tokio::task::spawn_local(serve_connection(shared, stream, place, next_id));
    }
}

async fn serve_connection(
    shared: Rc<Shared>,
    stream: TcpStream,
    place: Place,
    next_id: Rc<Cell<u64>>,
) {
    let _open = shared.open_connections.clone();
    // An error is ignored: without TCP_NODELAY answers are only delayed.
    let _ = stream.set_nodelay(true);
    let limits = shared.limits.get();
    let idle_time = Duration::from_millis(limits.idle_ms);
    let connection = Connection::new(place);
    let (service_shared, service_connection) = (shared.clone(), connection.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        // Without chunks, only a reset tells a caller that its stream was broken off.
        let has_chunks = request.version() > Version::HTTP_10;
        service_connection.is_reset.set(!has_chunks);
        let (shared, connection) = (service_shared.clone(), service_connection.clone());
        let next_id = next_id.clone();
        Box::pin(async move {
            Ok::<_, Infallible>(on_request(shared, &connection, request, &next_id).await)
        })
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle_time)
        .max_headers(MAX_HEADERS)
        .max_buf_size((BUFFER_FACTOR * limits.header_bytes).max(MIN_BUFFER_BYTES));
    let closing = &shared.close_listener;
    // A disconnect drops the requests of this connection; their guards report it.
    let ended = connection.serve(stream, &builder, service, idle_time, closing);
    log_unread(&ended.await);
}

async fn on_request(
    shared: Rc<Shared>,
    connection: &Connection,
    request: Request<Incoming>,
    next_id: &Cell<u64>,
) -> Response<ServedBody<AnswerBody>> {
    let (head, body) = request.into_parts();
    // Both headers give the length of the body and may contradict each other.
    let is_ambiguous =
        head.headers.contains_key(CONTENT_LENGTH) && head.headers.contains_key(TRANSFER_ENCODING);
    if is_ambiguous {
        let answer = malformed(&shared, &head, "two lengths of the body");
        return answer.map(|body| ServedBody::new(body, None));
    }
    let (body, excess) = match read_request(&shared, connection, &head, body).await {
        Ok(read) => read,
        Err(fault) => {
            if let Some(limit) = fault.limit() {
                connection.place.count(limit);
            }
            let answer = refuse_body(&shared, connection, &head, fault);
            return answer.map(|body| ServedBody::new(body, None));
        }
    };
    let id = next_id.get();
    next_id.set(id + 1);
    let serving = connection.place.serve();
    let response = submit(&shared, id, head, body, excess).await;
    let response = response.map(|body| ServedBody::new(body, Some(serving)));
    let is_last = shared.stopping.get() || excess.is_some() || connection.is_unread.get();
    match is_last {
        true => closing(response),
        false => response,
    }
}

/// Reads the body of a request, unless the request is refused whatever its body is: a part of it is too
/// large, or nobody may send it.
///
/// # Errors
/// Returns a [`BodyFault`] if the body isn't complete within the limits.
async fn read_request(
    shared: &Shared,
    connection: &Connection,
    head: &Parts,
    mut body: Incoming,
) -> Result<(Bytes, Option<Excess>), BodyFault> {
    let limits = shared.limits.get();
    let unread = |excess| {
        connection.is_unread.set(!body.is_end_stream());
        Ok((Bytes::new(), excess))
    };
    if head_bytes(head) > limits.header_bytes {
        return unread(Some(Excess::Head(limits.header_bytes)));
    }
    let idle_time = Duration::from_millis(limits.idle_ms);
    let mut body_limits = BodyLimits {
        max_bytes: limits.body_bytes,
        idle_time,
        wait_time: MAX_BODY_IDLE_TIMES * idle_time,
    };
    let length = body.size_hint().exact();
    if length.is_none_or(|n| n > SMALL_BODY_BYTES) {
        let call = (shared.adapter.parse_request)(head, &[]);
        if let Some(ms) = call.wait_ms {
            body_limits.wait_time = Duration::from_millis(ms);
        }
        if is_refused(shared, call).await {
            return unread(None);
        }
    }
    connection.reads_body.set(true);
    let read = read_body(&connection.place, &mut body, body_limits).await;
    connection.reads_body.set(false);
    match read {
        Ok(bytes) => Ok((bytes, None)),
        Err(BodyFault::TooLong) => {
            connection.place.count("body_bytes");
            connection.is_unread.set(true);
            Ok((Bytes::new(), Some(Excess::Body(limits.body_bytes))))
        }
        Err(fault) => Err(fault),
    }
}

/// Whether the reducer refuses a request whatever its body is.
async fn is_refused(shared: &Shared, call: DirectRequest) -> bool {
    let (reply, is_refused) = oneshot::channel();
    let call = Box::new(call);
    shared.send(LinkEvent::Head { call, reply });
    is_refused.await.unwrap_or(false)
}

/// The answer to a request whose body couldn't be read: it has not run.
fn refuse_body(
    shared: &Shared,
    connection: &Connection,
    head: &Parts,
    fault: BodyFault,
) -> Response<AnswerBody> {
    let come_back = |ms| {
        let response = (shared.adapter.build_problem)(Problem::NotRun(ms));
        closing(response.map(|bytes| AnswerBody::Whole(Some(bytes))))
    };
    match fault {
        BodyFault::Broken(e) if is_malformed(&*e) => malformed(shared, head, &e.to_string()),
        BodyFault::Broken(e) => {
            log_malformed(shared, head, &format!("its body broke off: {e}"));
            come_back(BROKEN_BODY_MS)
        }
        BodyFault::NoRoom => {
            connection.is_unread.set(true);
            come_back(shared.hold_ms)
        }
        // `read_request` has passed a body that is too long on as an excess.
        BodyFault::TooLong | BodyFault::Stalled | BodyFault::Late => {
            refusal(StatusCode::REQUEST_TIMEOUT)
        }
    }
}

/// Bytes of a head as it was sent, but for spaces around the values.
fn head_bytes(head: &Parts) -> usize {
    let path = head.uri.path_and_query().map_or(1, |p| p.as_str().len());
    let headers = head.headers.iter();
    let header_bytes = headers.map(|(n, v)| n.as_str().len() + v.len() + HEADER_FRAME_BYTES);
    head.method.as_str().len() + path + LINE_FRAME_BYTES + header_bytes.sum::<usize>()
}

/// Whether the bytes of a body are no body: it hasn't just broken off.
fn is_malformed(error: &(dyn Error + Send + Sync + 'static)) -> bool {
    let cause = error.source().and_then(|e| e.downcast_ref::<io::Error>());
    let kind = cause.map(io::Error::kind);
    matches!(kind, Some(ErrorKind::InvalidInput | ErrorKind::InvalidData))
}

/// Logs a head that can't be read, to which the server has answered 400, 414 or 431 by itself. Other ends
/// of connections leave no request without an answer of the reducer.
fn log_unread(ended: &hyper::Result<()>) {
    if let Err(e) = ended {
        if e.is_parse() {
            log_event(LogCode::RequestMalformed, &format!("its head: {e}"));
        }
    }
}

/// Refuses a request whose bytes are wrong, and logs it.
fn malformed(shared: &Shared, head: &Parts, why: &str) -> Response<AnswerBody> {
    log_malformed(shared, head, why);
    refusal(StatusCode::BAD_REQUEST)
}

fn log_malformed(shared: &Shared, head: &Parts, why: &str) {
    let label = (shared.adapter.parse_request)(head, &[]).label;
    log_event(
        LogCode::RequestMalformed,
        &format!("request {label:?}: {why}"),
    );
}

/// An empty answer with an error status, after which the connection closes.
fn refusal(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Whole(Some(Bytes::new())));
    *response.status_mut() = status;
    closing(response)
}

/// Passes a request to the reducer and waits for the head of its answer.
async fn submit(
    shared: &Rc<Shared>,
    id: u64,
    head: Parts,
    body: Bytes,
    excess: Option<Excess>,
) -> Response<AnswerBody> {
    let mut call = (shared.adapter.parse_request)(&head, &body);
    call.id = id;
    call.excess = excess;
    let label = call.label.clone();
    let (reply, answer) = oneshot::channel();
    let guard_shared = shared.clone();
    let mut guard = DisconnectGuard::new(move || {
        guard_shared.callers.borrow_mut().remove(&id);
        guard_shared.send_direct(DirectEvent::CallerGone(id));
    });
    shared.send(LinkEvent::Request {
        call: Box::new(call),
        received: Rc::new(ReceivedRequest { head, body, label }),
        reply,
    });
    let answer = answer.await;
    let Ok(mut response) = answer else {
        guard.disarm();
        return refusal(StatusCode::INTERNAL_SERVER_ERROR);
    };
    match response.body_mut() {
        AnswerBody::Stream { guard: inner, .. } => *inner = guard,
        AnswerBody::Whole(_) => guard.disarm(),
    }
    response
}
