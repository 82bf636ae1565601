//! Looks at endpoints and orders to them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use tokio::time::timeout;

use super::fault::Fault;
use super::shared::Shared;
use crate::logic::direct::{DirectEvent, GroupOrder, LookResult, OrderResult};
use crate::logic::{Note, NoteCode};
use crate::types::InstanceId;

/// Longest time for a look.
const LOOK: Duration = Duration::from_millis(120);

/// Longest time for the answer to an order.
const ORDER: Duration = Duration::from_millis(600);

/// Factor on the times of an endpoint that isn't slow, in thousandths.
const NORMAL_PACE: u64 = 1_000;

/// Longest report or answer, in bytes.
const LIMIT: usize = 256 * 1024;

/// Looks at an endpoint.
pub(super) fn look(shared: &Rc<Shared>, id: InstanceId, addr: SocketAddr) {
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        let request = (shared.dialect.look)(&id, &addr.to_string());
        let result = match timeout(LOOK, whole(&shared, addr, request, LIMIT)).await {
            Ok(Ok(answer)) => {
                rated(&shared, &id, None, answer.headers());
                read_look(&shared, &id, answer.status(), answer.body())
            }
            Ok(Err(Fault::Refused)) => LookResult::Refused,
            _ => LookResult::Silent,
        };
        shared.tell(DirectEvent::Looked { id, result });
    });
}

/// What a report shows. Whoever sends one that can't be read is alive all the same;
/// its place in a group stays the list's to say.
fn read_look(shared: &Shared, id: &InstanceId, status: StatusCode, body: &[u8]) -> LookResult {
    (shared.dialect.looked)(status, body).unwrap_or_else(|why| {
        unread("a report", id.as_str(), &why);
        LookResult::Alive {
            born: None,
            seat: None,
            pace: NORMAL_PACE,
        }
    })
}

/// Logs an answer that has arrived and can't be read.
pub(super) fn unread(what: &str, from: &str, why: &str) {
    let note = Note::new(NoteCode::AnswerUnread)
        .with("what", what)
        .with("from", from)
        .with("why", why);
    log::log!(target: "runrail", note.code.level(), "{note}");
}

/// Gives an endpoint an order.
pub(super) fn order(
    shared: &Rc<Shared>,
    order: u64,
    id: InstanceId,
    addr: SocketAddr,
    body: GroupOrder,
) {
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        let request = (shared.dialect.order)(&id, &addr.to_string(), &body);
        let result = match timeout(ORDER, whole(&shared, addr, request, LIMIT)).await {
            Ok(Ok(answer)) => {
                rated(&shared, &id, None, answer.headers());
                (shared.dialect.ordered)(answer.status())
            }
            _ => OrderResult::Unanswered,
        };
        shared.tell(DirectEvent::Ordered { order, result });
    });
}

/// Tells the reducer what an answer says of the endpoint's limit. What can't be read is
/// logged and changes nothing.
pub(super) fn rated(shared: &Shared, id: &InstanceId, run: Option<u64>, headers: &HeaderMap) {
    match (shared.dialect.rate)(headers) {
        Ok(rate) => shared.tell(DirectEvent::Rated {
            id: id.clone(),
            run,
            rate,
        }),
        Err(why) => unread("a limit", id.as_str(), &why),
    }
}

/// Sends a request and reads an answer of at most `limit` bytes.
pub(super) async fn whole(
    shared: &Shared,
    addr: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: usize,
) -> Result<Response<Bytes>, Fault> {
    let (response, connection) = shared.pool.send(addr, request, false, ORDER).await?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, limit).collect().await;
    let body = body.map_err(|_| Fault::Broken)?.to_bytes();
    shared.pool.give_back(connection, None);
    Ok(Response::from_parts(head, body))
}
