//! Calls between routers over HTTP: snapshots of the endpoint list in CBOR, and operators' keys.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::call_use::CallUse;
use super::endpoint_calls::{fetch, log_invalid};
use super::http_listener;
use super::link_event::LinkEvent;
use super::operator_keys;
use super::pool::SendOptions;
use super::shared::Shared;
use crate::intake::Gate;
use crate::logic::direct::{DirectEvent, ListSnapshot};

/// Path of the snapshot.
const PATH: &str = "/list";

/// Longest snapshot that is read: 80,000 endpoints.
const MAX_SNAPSHOT_BYTES: usize = 8 * 1024 * 1024;

/// Longest time for opening the connection: another router may have lost power.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Longest time for a snapshot. Eight of 4,000 endpoints pass a link of 40 Mbit/s in it; routers of
/// larger fleets with such links read the store.
const FETCH_TIMEOUT: Duration = Duration::from_millis(600);

/// Serves other routers until the process ends.
pub(super) async fn serve(shared: Rc<Shared>, listener: TcpListener, gate: Gate) {
    http_listener::serve(listener, gate, move |path| answer(shared.clone(), path)).await;
}

async fn answer(shared: Rc<Shared>, path: String) -> (StatusCode, Bytes) {
    if path.starts_with(operator_keys::PATH) {
        return operator_keys::answer(&shared, &path);
    }
    if path != PATH {
        return (StatusCode::NOT_FOUND, Bytes::new());
    }
    match snapshot_bytes(&shared).await {
        Some(bytes) => (StatusCode::OK, bytes.into()),
        None => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
    }
}

async fn snapshot_bytes(shared: &Shared) -> Option<Vec<u8>> {
    let (reply, snapshot) = oneshot::channel();
    shared.send(LinkEvent::Snapshot(reply));
    let snapshot = snapshot.await.ok()??;
    let mut bytes = Vec::new();
    if let Err(why) = ciborium::into_writer(&snapshot, &mut bytes) {
        log_invalid("a snapshot", "this router", &why.to_string());
        return None;
    }
    Some(bytes)
}

/// Asks another router for a snapshot; the answer goes to the reducer.
pub(super) fn fetch_list(shared: &Rc<Shared>, from: SocketAddr) {
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        let snapshot = fetch_snapshot(&shared, from).await.map(Box::new);
        shared.send_direct(DirectEvent::ListFetched { from, snapshot });
    });
}

async fn fetch_snapshot(shared: &Shared, from: SocketAddr) -> Option<ListSnapshot> {
    let (status, body) = get(shared, from, PATH, MAX_SNAPSHOT_BYTES).await?;
    if status != StatusCode::OK {
        return None;
    }
    let snapshot = ciborium::from_reader(&body[..]);
    if let Err(why) = &snapshot {
        log_invalid("a snapshot", &from.to_string(), &why.to_string());
    }
    snapshot.ok()
}

/// Calls a path at another router; returns the answer, if its body has at most `max_bytes`.
pub(super) async fn get(
    shared: &Shared,
    from: SocketAddr,
    path: &str,
    max_bytes: usize,
) -> Option<(StatusCode, Bytes)> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.parse().ok()?;
    let host = from.to_string().parse().ok()?;
    request.headers_mut().insert(http::header::HOST, host);
    let options = SendOptions {
        call_use: CallUse::Router,
        connect_time: CONNECT_TIMEOUT,
        ..SendOptions::default()
    };
    let call = fetch(shared, from, request, max_bytes, options);
    let answer = timeout(FETCH_TIMEOUT, call).await.ok()?.ok()?;
    Some((answer.status(), answer.into_body()))
}
