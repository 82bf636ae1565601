//! Probes of endpoints and orders to them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::Full;
use tokio::time::timeout;

use super::answer_head::is_framed;
use super::call_fault::CallFault;
use super::call_use::CallUse;
use super::excerpt::excerpt;
use super::pool::{Connection, SendOptions};
use super::reuse::Reuse;
use super::shared::Shared;
use crate::logic::direct::{DirectEvent, EndpointReport, GroupOrder, OrderResult, ProbeResult};
use crate::logic::{LogCode, LogEvent};
use crate::types::InstanceId;

/// Longest time for a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(120);

/// Longest time for the answer to an order, and for opening the connection of a call.
const ORDER_TIMEOUT: Duration = Duration::from_millis(600);

/// Longest report, and longest answer to an order.
const MAX_ANSWER_BYTES: usize = 256 * 1024;

/// How a call is sent if nothing else is asked for.
pub(super) fn call_options(call_use: CallUse) -> SendOptions<'static> {
    SendOptions {
        call_use,
        connect_time: ORDER_TIMEOUT,
        ..SendOptions::default()
    }
}

/// Asks an endpoint for its report; the result goes to the reducer. A `fresh` probe is sent on a new
/// connection.
pub(super) fn send_probe(shared: &Rc<Shared>, id: InstanceId, addr: SocketAddr, fresh: bool) {
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        let result = match timeout(PROBE_TIMEOUT, probe(&shared, &id, addr, fresh)).await {
            Ok(Ok(result)) => result,
            Ok(Err(CallFault::Refused)) => ProbeResult::Refused,
            _ => ProbeResult::Silent,
        };
        shared.send_direct(DirectEvent::Probed { id, result });
    });
}

/// # Errors
/// Returns a [`CallFault`] if the endpoint gave no complete answer.
async fn probe(
    shared: &Shared,
    id: &InstanceId,
    addr: SocketAddr,
    fresh: bool,
) -> Result<ProbeResult, CallFault> {
    if !fresh {
        return probe_on(shared, id, addr, Reuse::Any).await;
    }
    match probe_on(shared, id, addr, Reuse::Never).await {
        // An endpoint that has all its connections resets further ones.
        Err(CallFault::NotSent | CallFault::Broken) => probe_on(shared, id, addr, Reuse::Any).await,
        result => result,
    }
}

async fn probe_on(
    shared: &Shared,
    id: &InstanceId,
    addr: SocketAddr,
    reuse: Reuse,
) -> Result<ProbeResult, CallFault> {
    let request = (shared.adapter.build_probe)(id, &addr.to_string());
    let options = SendOptions {
        reuse,
        ..call_options(CallUse::Probe)
    };
    let sent = fetch_once(shared, addr, request, MAX_ANSWER_BYTES, options).await;
    let (answer, connection) = sent?;
    let (status, headers) = (answer.status(), answer.headers());
    // Only the first answer on a connection can't be one to an earlier request. A report that
    // comes twice shows no more than that the endpoint answers.
    let is_report = status.is_success() && !(shared.adapter.has_label)(headers);
    if connection.has_earlier() && !is_report {
        return Err(CallFault::Broken);
    }
    shared.pool.give_back(connection, None);
    send_notices(shared, id, None, status, headers);
    let is_framed = is_framed(&Method::GET, status, headers);
    read_report(shared, id, status, answer.body(), is_framed)
}

/// Reads a report. An endpoint whose report is invalid is alive all the same, and not
/// ordered to join a group before a report of it could be read.
///
/// # Errors
/// Returns [`CallFault::Broken`] if the report can't be read and isn't framed: it may have been cut.
fn read_report(
    shared: &Shared,
    id: &InstanceId,
    status: StatusCode,
    body: &[u8],
    is_framed: bool,
) -> Result<ProbeResult, CallFault> {
    match (shared.adapter.parse_report)(status, body) {
        Ok(report) => {
            let place = "field of an endpoint's report";
            shared.unknown.record(place, &report.unknown, id.as_str());
            Ok(report.result)
        }
        Err(_) if !is_framed => Err(CallFault::Broken),
        Err(why) => {
            log_invalid("a report", id.as_str(), &why);
            Ok(ProbeResult::Alive(EndpointReport {
                readable: false,
                ..EndpointReport::default()
            }))
        }
    }
}

/// Logs an answer that was received and is invalid.
pub(super) fn log_invalid(what: &str, from: &str, why: &str) {
    let event = LogEvent::new(LogCode::AnswerUnread)
        .with("what", what)
        .with("from", from)
        .with("why", excerpt(why));
    log::log!(target: "runrail", event.code.level(), "{event}");
}

/// Logs the first item of an answer of the store that can't be read, and how many there are.
pub(super) fn log_unread(prefix: &str, unread: &[String]) {
    if let Some(first) = unread.first() {
        let why = format!("{} items can't be read; the first: {first}", unread.len());
        log_invalid(prefix, "the store", &why);
    }
}

/// Sends an order to an endpoint; the result goes to the reducer.
pub(super) fn send_order(
    shared: &Rc<Shared>,
    order: u64,
    id: InstanceId,
    addr: SocketAddr,
    body: GroupOrder,
) {
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        let request = (shared.adapter.build_order)(&id, &addr.to_string(), &body);
        // Nothing in an answer shows which order it is to: only the first one on a connection counts.
        let options = SendOptions {
            reuse: Reuse::Never,
            ..call_options(CallUse::Order)
        };
        let result = match timeout(
            ORDER_TIMEOUT,
            fetch(&shared, addr, request, MAX_ANSWER_BYTES, options),
        )
        .await
        {
            Ok(Ok(answer)) => {
                send_notices(&shared, &id, None, answer.status(), answer.headers());
                (shared.adapter.parse_order)(answer.status())
            }
            _ => OrderResult::Unanswered,
        };
        shared.send_direct(DirectEvent::OrderResult { order, result });
    });
}

/// Passes what an endpoint's answer says of the requests that it takes to the reducer: its limit,
/// `None` if the answer has none, for how much longer it is cold, for how long it wants none, and
/// that it is leaving. What is invalid is logged and changes nothing, and so does the answer of
/// another endpoint at the same address. Headers that this version doesn't know are logged once.
pub(super) fn send_notices(
    shared: &Shared,
    id: &InstanceId,
    run: Option<u64>,
    status: StatusCode,
    headers: &HeaderMap,
) {
    let unknown = (shared.adapter.unknown_headers)(headers);
    let place = "header of an endpoint's answer";
    shared.unknown.record(place, &unknown, id.as_str());
    if !(shared.adapter.is_answer_of)(status, headers, id) {
        return;
    }
    match (shared.adapter.parse_rate)(headers) {
        Ok(rate) => shared.send_direct(DirectEvent::RateLimit {
            id: id.clone(),
            run,
            rate,
        }),
        Err(why) => log_invalid("a limit", id.as_str(), &why),
    }
    match (shared.adapter.parse_cold)(headers) {
        Ok(Some(ms)) => shared.send_direct(DirectEvent::ColdNamed { id: id.clone(), ms }),
        Ok(None) => {}
        Err(why) => log_invalid("a cold time", id.as_str(), &why),
    }
    match (shared.adapter.parse_hold_off)(status, headers) {
        Ok(Some(ms)) => shared.send_direct(DirectEvent::HoldOff {
            id: id.clone(),
            run,
            ms,
        }),
        Ok(None) => {}
        Err(why) => log_invalid("a time to come back", id.as_str(), &why),
    }
    match (shared.adapter.parse_leaving)(headers) {
        Ok(true) => shared.send_direct(DirectEvent::LeavingNamed(id.clone())),
        Ok(false) => {}
        Err(why) => log_invalid("an announcement", id.as_str(), &why),
    }
}

/// Sends a request and reads its answer of at most `max_bytes`.
///
/// # Errors
/// Returns a [`CallFault`] if no complete answer was received, or if it is longer than `max_bytes`.
pub(super) async fn fetch(
    shared: &Shared,
    addr: SocketAddr,
    request: Request<Full<Bytes>>,
    max_bytes: usize,
    options: SendOptions<'_>,
) -> Result<Response<Bytes>, CallFault> {
    let (answer, connection) = fetch_once(shared, addr, request, max_bytes, options).await?;
    shared.pool.give_back(connection, None);
    Ok(answer)
}

/// The same; the connection isn't given back to the pool yet.
async fn fetch_once(
    shared: &Shared,
    addr: SocketAddr,
    request: Request<Full<Bytes>>,
    max_bytes: usize,
    options: SendOptions<'_>,
) -> Result<(Response<Bytes>, Connection), CallFault> {
    let room = shared.room(options.call_use);
    let (response, connection) = shared.pool.send(addr, request, options).await?;
    let (head, body) = response.into_parts();
    let body = room.read(body, max_bytes).await?;
    Ok((Response::from_parts(head, body), connection))
}
