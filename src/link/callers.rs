//! Callers: accepts connections, reads requests, writes answers.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;

use super::answer_body::{AnswerBody, LeftGuard};
use super::link_event::{CallerCall, LinkEvent};
use super::shared::Shared;
use crate::logic::direct::DirectEvent;

/// Fewest bytes of a buffer for requests' heads.
const LEAST_BUFFER: usize = 8 * 1024;

/// Pause after a connection couldn't be accepted.
const AGAIN: Duration = Duration::from_millis(10);

/// Accepts connections until the process is about to end.
pub(super) async fn serve(shared: Rc<Shared>, listener: TcpListener) {
    let next = Rc::new(Cell::new(1));
    while !shared.closed.get() {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shared.stop.notified() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let (shared, next) = (shared.clone(), next.clone());
                tokio::task::spawn_local(connection(shared, stream, next));
            }
            Err(_) => tokio::time::sleep(AGAIN).await,
        }
    }
}

async fn connection(shared: Rc<Shared>, stream: TcpStream, next: Rc<Cell<u64>>) {
    let _open = shared.open.clone();
    // Without it answers only come later.
    let _ = stream.set_nodelay(true);
    let limits = shared.limits.get();
    let inside = shared.clone();
    let service = service_fn(move |request| {
        let (shared, next) = (inside.clone(), next.clone());
        async move { Ok::<_, Infallible>(answer(shared, request, &next).await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_ms))
        .max_buf_size(limits.header_bytes.max(LEAST_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    let mut served = std::pin::pin!(served);
    loop {
        tokio::select! {
            // A caller that breaks off ends its requests by dropping them.
            _ = &mut served => return,
            () = shared.stop.notified() => served.as_mut().graceful_shutdown(),
        }
    }
}

async fn answer(
    shared: Rc<Shared>,
    request: Request<Incoming>,
    next: &Cell<u64>,
) -> Response<AnswerBody> {
    let (head, body) = request.into_parts();
    let doubtful =
        head.headers.contains_key(CONTENT_LENGTH) && head.headers.contains_key(TRANSFER_ENCODING);
    if doubtful {
        return refused(StatusCode::BAD_REQUEST);
    }
    let limit = shared.limits.get().body_bytes;
    if body.size_hint().lower() > limit as u64 {
        return refused(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let body = match Limited::new(body, limit).collect().await {
        Ok(body) => body.to_bytes(),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => {
            return refused(StatusCode::PAYLOAD_TOO_LARGE)
        }
        Err(_) => return refused(StatusCode::BAD_REQUEST),
    };
    let id = next.get();
    next.set(id + 1);
    let mut response = decided(&shared, id, head, body).await;
    if shared.stopping.get() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// An answer to what isn't a request; the connection closes behind it.
fn refused(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Whole(Some(Bytes::new())));
    *response.status_mut() = status;
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

/// Hands a request to the reducer and waits for the head of its answer.
async fn decided(
    shared: &Rc<Shared>,
    id: u64,
    head: http::request::Parts,
    body: Bytes,
) -> Response<AnswerBody> {
    let mut call = (shared.dialect.request)(&head, &body);
    call.id = id;
    let label = call.label.clone();
    let (reply, answer) = oneshot::channel();
    let inside = shared.clone();
    let mut guard = LeftGuard::new(move || {
        inside.callers.borrow_mut().remove(&id);
        inside.tell(DirectEvent::Gone(id));
    });
    shared.send(LinkEvent::Request {
        call: Box::new(call),
        whole: Rc::new(CallerCall { head, body, label }),
        reply,
    });
    let answer = answer.await;
    let Ok(mut response) = answer else {
        guard.disarm();
        return refused(StatusCode::INTERNAL_SERVER_ERROR);
    };
    match response.body_mut() {
        AnswerBody::Pieces { guard: inner, .. } => *inner = guard,
        AnswerBody::Whole(_) => guard.disarm(),
    }
    response
}
