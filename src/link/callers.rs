//! Connections of callers: accepts them, reads requests and writes answers.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::request::Parts;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;

use super::answer_body::{AnswerBody, DisconnectGuard};
use super::link_event::{LinkEvent, ReceivedRequest};
use super::run_direct::log_event;
use super::shared::Shared;
use crate::logic::direct::DirectEvent;
use crate::logic::LogCode;

/// Smallest read buffer of a connection, which limits the heads of its requests.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Pause after a connection couldn't be accepted.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Accepts connections until the reducer closes the listener.
pub(super) async fn serve(shared: Rc<Shared>, listener: TcpListener) {
    let next_id = Rc::new(Cell::new(1));
    while !shared.closed.get() {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shared.close_listener.notified() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let (shared, next_id) = (shared.clone(), next_id.clone());
                tokio::task::spawn_local(serve_connection(shared, stream, next_id));
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_PAUSE).await,
        }
    }
}

async fn serve_connection(shared: Rc<Shared>, stream: TcpStream, next_id: Rc<Cell<u64>>) {
    let _open = shared.open_connections.clone();
    // An error is ignored: without TCP_NODELAY answers are only delayed.
    let _ = stream.set_nodelay(true);
    let limits = shared.limits.get();
    let service_shared = shared.clone();
    let service = service_fn(move |request| {
        let (shared, next_id) = (service_shared.clone(), next_id.clone());
        async move { Ok::<_, Infallible>(on_request(shared, request, &next_id).await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_ms))
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut served = std::pin::pin!(served);
    loop {
        tokio::select! {
            // A disconnect drops the requests of this connection; their guards report it.
            ended = &mut served => return log_unread(&ended),
            () = shared.close_listener.notified() => served.as_mut().graceful_shutdown(),
        }
    }
}

async fn on_request(
    shared: Rc<Shared>,
    request: Request<Incoming>,
    next_id: &Cell<u64>,
) -> Response<AnswerBody> {
    let (head, body) = request.into_parts();
    // Both headers give the length of the body and may contradict each other.
    let is_ambiguous =
        head.headers.contains_key(CONTENT_LENGTH) && head.headers.contains_key(TRANSFER_ENCODING);
    if is_ambiguous {
        return malformed(
            &shared,
            &head,
            StatusCode::BAD_REQUEST,
            "two lengths of the body",
        );
    }
    let limit = shared.limits.get().body_bytes;
    let too_large = StatusCode::PAYLOAD_TOO_LARGE;
    if body.size_hint().lower() > limit as u64 {
        let why = format!("its body has more than {limit} bytes");
        return malformed(&shared, &head, too_large, &why);
    }
    let body = match Limited::new(body, limit).collect().await {
        Ok(body) => body.to_bytes(),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => {
            let why = format!("its body has more than {limit} bytes");
            return malformed(&shared, &head, too_large, &why);
        }
        Err(e) => return malformed(&shared, &head, StatusCode::BAD_REQUEST, &e.to_string()),
    };
    let id = next_id.get();
    next_id.set(id + 1);
    let mut response = submit(&shared, id, head, body).await;
    if shared.stopping.get() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
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

/// Refuses a request whose head or body can't be taken, and logs it.
fn malformed(shared: &Shared, head: &Parts, status: StatusCode, why: &str) -> Response<AnswerBody> {
    let label = (shared.adapter.parse_request)(head, &[]).label;
    let why = format!("request {label:?} answered {}: {why}", status.as_u16());
    log_event(LogCode::RequestMalformed, &why);
    refusal(status)
}

/// An empty answer with an error status, after which the connection closes.
fn refusal(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Whole(Some(Bytes::new())));
    *response.status_mut() = status;
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

/// Passes a request to the reducer and waits for the head of its answer.
async fn submit(
    shared: &Rc<Shared>,
    id: u64,
    head: http::request::Parts,
    body: Bytes,
) -> Response<AnswerBody> {
    let mut call = (shared.adapter.parse_request)(&head, &body);
    call.id = id;
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
