//! HTTP listener for the readiness checks of the balancer and for scrapers of the metrics.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use super::link_event::LinkEvent;
use super::shared::Shared;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Serves connections until the process ends.
pub(super) async fn serve(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        let shared = shared.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: http::Request<hyper::body::Incoming>| {
                answer(shared.clone(), request.uri().path().to_string())
            });
            // An error of the connection is ignored: the client connects again.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn answer(shared: Rc<Shared>, path: String) -> Result<Response<Full<Bytes>>, Infallible> {
    let (status, text) = if path == shared.adapter.ready_path {
        match shared.ready.get() {
            true => (StatusCode::OK, String::new()),
            false => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
        }
    } else if path == METRICS_PATH {
        (StatusCode::OK, metrics_text(&shared).await)
    } else {
        (StatusCode::NOT_FOUND, String::new())
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    Ok(response)
}

async fn metrics_text(shared: &Shared) -> String {
    let (reply, text) = oneshot::channel();
    shared.send(LinkEvent::Metrics(reply));
    text.await.unwrap_or_default()
}
