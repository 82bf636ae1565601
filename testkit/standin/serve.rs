//! Small HTTP servers on loopback.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

/// Most headers of a request: more than a router takes, which adds some.
const MAX_HEADERS: usize = 300;

/// Number of the connection that a request came on, among its extensions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct ConnectionNumber(pub u64);

/// Number of connections that were accepted by all servers.
static ACCEPTED: AtomicU64 = AtomicU64::new(0);

/// Body of an answer.
pub(super) type Body = UnsyncBoxBody<Bytes, std::io::Error>;

pub(super) fn runtime() -> Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .expect("a runtime")
}

/// Listens on a free port and answers each request.
pub(super) fn serve<F, R>(runtime: &Runtime, answer: F) -> SocketAddr
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
    R: std::future::Future<Output = Response<Body>> + Send + 'static,
{
    serve_at(SocketAddr::from(([127, 0, 0, 1], 0)), runtime, answer)
}

/// Listens at an address and answers each request. Binding is retried for 5 s, as the server that
/// held the address before may not have released it yet.
pub(super) fn serve_at<F, R>(addr: SocketAddr, runtime: &Runtime, answer: F) -> SocketAddr
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
    R: std::future::Future<Output = Response<Body>> + Send + 'static,
{
    let start = Instant::now();
    let listener = loop {
        match runtime.block_on(TcpListener::bind(addr)) {
            Ok(listener) => break listener,
            Err(e) => assert!(start.elapsed() < Duration::from_secs(5), "{addr}: {e}"),
        }
        std::thread::sleep(Duration::from_millis(5));
    };
    let addr = listener.local_addr().expect("an address");
    runtime.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let answer = answer.clone();
            let number = ConnectionNumber(ACCEPTED.fetch_add(1, Ordering::Relaxed));
            tokio::spawn(async move {
                let service = service_fn(move |mut request: Request<Incoming>| {
                    request.extensions_mut().insert(number);
                    let answer = answer(request);
                    async move { Ok::<_, Infallible>(answer.await) }
                });
                let _ = http1::Builder::new()
                    .max_headers(MAX_HEADERS)
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
    addr
}

/// A response with a JSON body, or with an empty body where `body` is null.
pub(super) fn json_response(status: StatusCode, body: &Value) -> Response<Body> {
    let text = if body.is_null() {
        String::new()
    } else {
        body.to_string()
    };
    let body = Full::new(Bytes::from(text)).map_err(std::io::Error::other);
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}

/// Value of a query parameter, not decoded; empty where it is missing.
pub(super) fn query_value(request: &Request<Incoming>, name: &str) -> String {
    let query = request.uri().query().unwrap_or("");
    let found = query
        .split('&')
        .filter_map(|p| p.split_once('='))
        .find(|(n, _)| *n == name);
    found.map(|(_, v)| v.to_string()).unwrap_or_default()
}
