//! HTTP listener for calls that are answered by their path alone.

use std::convert::Infallible;
use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::sync::Notify;

use crate::intake::{Connection, Gate, ServedBody};

/// Longest time between two requests of a connection: scrapers ask every few seconds.
const IDLE_TIME: Duration = Duration::from_secs(60);

/// Longest time for which a client may take no bytes of an answer.
const WRITE_TIME: Duration = Duration::from_secs(2);

/// Longest head of a call.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Serves connections until the process ends; `answer` gets the path of each call.
pub(super) async fn serve<F, A>(listener: TcpListener, gate: Gate, answer: F)
where
    F: Fn(String) -> A + Clone + Unpin + 'static,
    A: Future<Output = (StatusCode, Bytes)> + 'static,
{
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIME)
        .max_buf_size(MAX_HEAD_BYTES);
    loop {
        let (stream, place) = gate.accept(&listener).await;
        let (answer, builder) = (answer.clone(), builder.clone());
        let connection = Connection::new(place);
        let calls = connection.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let answered = answer(request.uri().path().to_string());
            let calls = calls.clone();
            Box::pin(async move {
                let serving = calls.place.serve();
                let (status, body) = answered.await;
                let (status, body) = match calls.place.hold(body) {
                    Some(held) => (status, held),
                    None => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
                };
                let body = ServedBody::new(Full::new(body), Some(serving));
                let mut response = Response::new(body);
                *response.status_mut() = status;
                Ok::<_, Infallible>(response)
            })
        });
        tokio::task::spawn_local(async move {
            // The listener is open until the process ends.
            let never = Notify::new();
            let served = connection.serve(stream, &builder, service, WRITE_TIME, &never);
            // An error of the connection is ignored: the client connects again.
            let _ = served.await;
        });
    }
}
