//! Tells the balancer whether this router takes callers, and its own figures.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use super::shared::Shared;

/// Answers for ever.
pub(super) async fn serve(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        let shared = shared.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: http::Request<hyper::body::Incoming>| {
                let known = request.uri().path() == shared.dialect.ready_path;
                let status = match (known, shared.ready.get()) {
                    (false, _) => StatusCode::NOT_FOUND,
                    (true, true) => StatusCode::OK,
                    (true, false) => StatusCode::SERVICE_UNAVAILABLE,
                };
                let mut response = Response::new(Full::new(Bytes::new()));
                *response.status_mut() = status;
                std::future::ready(Ok::<_, Infallible>(response))
            });
            // The balancer asks again whatever happens to this connection.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
