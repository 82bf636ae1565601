//! HTTP listener for the readiness checks of the balancer and for scrapers of the metrics.

use std::rc::Rc;

use bytes::Bytes;
use http::StatusCode;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use super::http_listener;
use super::link_event::LinkEvent;
use super::shared::Shared;
use crate::intake::Gate;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Serves connections until the process ends.
pub(super) async fn serve(shared: Rc<Shared>, listener: TcpListener, gate: Gate) {
    http_listener::serve(listener, gate, move |path| answer(shared.clone(), path)).await;
}

async fn answer(shared: Rc<Shared>, path: String) -> (StatusCode, Bytes) {
    if path == shared.adapter.ready_path {
        match shared.ready.get() {
            true => (StatusCode::OK, Bytes::new()),
            false => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        }
    } else if path == METRICS_PATH {
        (StatusCode::OK, metrics_text(&shared).await.into())
    } else {
        (StatusCode::NOT_FOUND, Bytes::new())
    }
}

async fn metrics_text(shared: &Shared) -> String {
    let (reply, text) = oneshot::channel();
    shared.send(LinkEvent::Metrics(reply));
    text.await.unwrap_or_default()
}
