//! Answers the calls to a replica of the stand-in.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, BodyStream, StreamBody};
use hyper::body::{Body as _, Frame, Incoming};
use serde_json::{json, Value};
use tokio::time::sleep;

use super::cut::Cut;
use super::replica::Arrival;
use super::serve::ConnectionNumber;
use super::serve::{json_response, Body};
use super::world::World;

/// Time after which the streams of a group that lacks a member fail.
pub(super) const STALL_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Time between two checks whether a replica is still cut off.
const CONTACT_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Time from the start of a fatal run to the crash of the replica.
const CRASH_DELAY: Duration = Duration::from_millis(10);

/// Body of a request that crashes every replica that runs it.
pub const FATAL: &str = "fatal";

/// Id of a prompt segment that crashes every replica which runs a request with it.
pub const FATAL_SEGMENT: &str = "fa7a1";

/// Bytes of the last event of a stream that is broken off inside it.
const CUT_BYTES: usize = 5;

/// How the answers to a request are framed, and where its stream is broken off.
struct Framing {
    unframed: bool,
    cut: Option<Cut>,
}

/// Number of events of one stream.
pub const EVENTS: u64 = 12;

/// Answers a call with what the replica says in all its answers.
pub(super) async fn on_replica_call(
    world: Arc<Mutex<World>>,
    own_id: String,
    request: Request<Incoming>,
) -> Response<Body> {
    wait_for_contact(&world, &own_id).await;
    let connection = request.extensions().get().copied();
    let is_order = request.uri().path() == "/runrail/order";
    if let Some(connection) = connection {
        let mut world = world.lock().expect("state lock");
        let is_first = world.used.insert(connection);
        if is_order {
            let (own, others) = &mut world.orders;
            *(if is_first { own } else { others }) += 1;
        }
    }
    let attempt = request.headers().get("x-attempt-id").cloned();
    if !is_order {
        wait_until_thawed(&world, &own_id).await;
    }
    let mut response = answer_call(world.clone(), own_id.clone(), request).await;
    wait_for_contact(&world, &own_id).await;
    wait_until_thawed(&world, &own_id).await;
    let mut world = world.lock().expect("state lock");
    if let Some(connection) = connection {
        let repeated = world.repeated;
        response = repeat_last(&mut world, &own_id, connection, response);
        let attempt = attempt.as_ref().and_then(|a| a.to_str().ok());
        if let Some(attempt) = attempt.filter(|_| world.repeated > repeated) {
            world.forget_notices(&own_id, attempt);
        }
    }
    let Some(replica) = world.replicas.get(&own_id) else {
        return response;
    };
    let headers = response.headers_mut();
    if let Ok(id) = own_id.parse() {
        headers.insert("x-replica-id", id);
    }
    if replica.leaving {
        headers.insert("server-leaving", HeaderValue::from_static("1"));
    }
    if let Some((name, value)) = replica.header {
        headers.insert(name, HeaderValue::from_static(value));
    }
    response
}

/// Waits for as long as a replica is cut off from all routers.
async fn wait_for_contact(world: &Mutex<World>, own_id: &str) {
    while world.lock().expect("state lock").is_cut(own_id) {
        sleep(CONTACT_CHECK_INTERVAL).await;
    }
}

/// Waits for as long as a replica is frozen.
async fn wait_until_thawed(world: &Mutex<World>, own_id: &str) {
    while world.lock().expect("state lock").is_frozen(own_id) {
        sleep(CONTACT_CHECK_INTERVAL).await;
    }
}

/// What a replica gives as the answer on a connection: the last one once more if it repeats them.
fn repeat_last(
    world: &mut World,
    own_id: &str,
    connection: ConnectionNumber,
    response: Response<Body>,
) -> Response<Body> {
    if let Some((status, headers)) = world.surplus.remove(&connection) {
        world.repeated += 1;
        let mut last = json_response(status, &Value::Null);
        *last.headers_mut() = headers;
        return last;
    }
    let repeats = world.replicas.get(own_id).is_some_and(|r| r.repeats);
    if repeats && response.body().is_end_stream() {
        let last = (response.status(), response.headers().clone());
        world.surplus.insert(connection, last);
    }
    response
}

async fn answer_call(
    world: Arc<Mutex<World>>,
    own_id: String,
    request: Request<Incoming>,
) -> Response<Body> {
    let header = |name: &str| {
        let value = request.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or("").to_string()
    };
    let (expected, attempt) = (header("x-expect-instance"), header("x-attempt-id"));
    let segments = header("x-prompt-prefix");
    let last_event: u64 = header("last-event-id").parse().unwrap_or(0);
    let path = request.uri().path().to_string();
    if expected != own_id {
        return json_response(StatusCode::MISDIRECTED_REQUEST, &Value::Null);
    }
    if path == "/runrail/report" {
        let world = world.lock().expect("state lock");
        let Some(replica) = world.replicas.get(&own_id) else {
            return json_response(StatusCode::MISDIRECTED_REQUEST, &Value::Null);
        };
        return json_response(StatusCode::OK, &replica.report());
    }
    if path == "/runrail/order" {
        let body = request
            .into_body()
            .collect()
            .await
            .map(|b| b.to_bytes())
            .unwrap_or_default();
        let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        let is_kept = world.lock().expect("state lock").keeps_orders;
        let order = carry_out_order(world, own_id, body);
        let status = match is_kept {
            // A task goes on when the caller closes the connection.
            true => tokio::spawn(order).await,
            false => Ok(order.await),
        };
        let status = status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
        return json_response(status, &Value::Null);
    }
    let (pool, limit, hold_off, is_full) = {
        let mut world = world.lock().expect("state lock");
        let Some(replica) = world.replicas.get_mut(&own_id) else {
            return json_response(StatusCode::MISDIRECTED_REQUEST, &Value::Null);
        };
        replica.arrivals.push(Arrival {
            at: Instant::now(),
            attempt: attempt.clone(),
            life: replica.started_ms,
            hold_off: replica.hold_off,
            leaving: replica.leaving,
        });
        let is_full = replica.refusals > 0;
        replica.refusals = replica.refusals.saturating_sub(1);
        let pool = replica.service == "pool";
        (pool, replica.limit, replica.hold_off, is_full)
    };
    if let Some(time) = hold_off {
        return refusal(&attempt, Some(time));
    }
    if is_full {
        return refusal(&attempt, None);
    }
    let body = request.into_body().collect().await;
    let fatal_body = body.is_ok_and(|b| b.to_bytes() == FATAL.as_bytes());
    let fatal_segment = segments.split([',', ':']).any(|id| id == FATAL_SEGMENT);
    let can_run = !pool || world.lock().expect("state lock").is_open_head(&own_id);
    let by_chance = can_run && crashes_by_chance(&world, &attempt);
    let fatal = fatal_body || fatal_segment || by_chance;
    if can_run {
        let mut world = world.lock().expect("state lock");
        *world.ran.entry(attempt.clone()).or_default() += 1;
        let now = Instant::now();
        world.fatal.extend(fatal_body.then_some(now));
        world.fatal_segment.extend(fatal_segment.then_some(now));
    }
    if can_run && fatal {
        crash_later(&world, &own_id);
    }
    let (unframed, cut) = {
        let mut world = world.lock().expect("state lock");
        let is_stream = pool && can_run && !fatal;
        let cut = (world.unframed && is_stream).then(|| world.cuts.pop());
        (world.unframed, cut.flatten())
    };
    let mut response = if pool && fatal && can_run {
        empty_stream()
    } else if pool {
        let framing = Framing { unframed, cut };
        stream_response(world, &own_id, last_event, framing)
    } else {
        sleep(Duration::from_millis(5)).await;
        if path.starts_with("/once/") {
            let mut world = world.lock().expect("state lock");
            *world.once.entry(attempt.clone()).or_default() += 1;
        }
        let padding = world.lock().expect("state lock").padding;
        json_response(
            StatusCode::OK,
            &json!({"by": own_id, "padding": "x".repeat(padding)}),
        )
    };
    if unframed {
        response = without_framing(response);
    }
    if let Some(Ok(value)) = limit.map(|l| l.to_string().parse()) {
        response.headers_mut().insert("server-limit", value);
    }
    set_attempt(response.headers_mut(), &attempt);
    if let Ok(value) = own_id.parse() {
        response.headers_mut().insert("x-response-stamp", value);
    }
    response
}

/// Carries out an order once the replica isn't frozen, and returns the status of the answer.
async fn carry_out_order(world: Arc<Mutex<World>>, own_id: String, body: Value) -> StatusCode {
    loop {
        wait_until_thawed(&world, &own_id).await;
        let mut world = world.lock().expect("state lock");
        if world.is_frozen(&own_id) {
            continue;
        }
        let status = world.on_order(&own_id, &body);
        world.update_list();
        return status;
    }
}

/// The same answer with neither a length nor chunks: it ends with its connection.
fn without_framing(response: Response<Body>) -> Response<Body> {
    let (mut head, body) = response.into_parts();
    head.version = http::Version::HTTP_10;
    let frames = BodyStream::new(body);
    Response::from_parts(head, StreamBody::new(frames).boxed_unsync())
}

/// The answer of a replica that doesn't run a request. With a time it asks its router to send nothing
/// for so long.
fn refusal(attempt: &str, time: Option<Duration>) -> Response<Body> {
    let mut response = json_response(StatusCode::SERVICE_UNAVAILABLE, &Value::Null);
    let headers = response.headers_mut();
    headers.insert("x-not-run", HeaderValue::from_static("1"));
    set_attempt(headers, attempt);
    if let Some(Ok(seconds)) = time.map(|t| t.as_secs_f64().to_string().parse()) {
        headers.insert("retry-after", seconds);
    }
    response
}

/// Names the attempt that is answered, if the request had one.
fn set_attempt(headers: &mut HeaderMap, attempt: &str) {
    if let Some(value) = attempt.parse().ok().filter(|_| !attempt.is_empty()) {
        headers.insert("x-attempt-id", value);
    }
}

/// Whether the replica crashes while it runs an attempt, which hasn't caused it.
fn crashes_by_chance(world: &Arc<Mutex<World>>, attempt: &str) -> bool {
    let mut world = world.lock().expect("state lock");
    let prefix = world.crash_under;
    let is_due = prefix.is_some_and(|prefix| attempt.starts_with(prefix));
    world.crash_under = prefix.filter(|_| !is_due);
    is_due
}

/// Crashes the replica after [`CRASH_DELAY`].
fn crash_later(world: &Arc<Mutex<World>>, own_id: &str) {
    let (world, own_id) = (world.clone(), own_id.to_string());
    tokio::spawn(async move {
        sleep(CRASH_DELAY).await;
        world.lock().expect("state lock").kill(&own_id);
    });
}

/// A stream without events that doesn't end: the replica crashes before its first one.
fn empty_stream() -> Response<Body> {
    event_stream(futures_util::stream::pending())
}

/// The events of a stream after `last_event`; 421 where the replica doesn't head an open group.
///
/// The stream stalls while a member of the group is missing, and fails when the head has been
/// stalled for longer than [`STALL_TIMEOUT`].
fn stream_response(
    world: Arc<Mutex<World>>,
    own_id: &str,
    last_event: u64,
    Framing { unframed, cut }: Framing,
) -> Response<Body> {
    let seat = {
        let world = world.lock().expect("state lock");
        let seat = world.replicas[own_id].seat.clone();
        seat.filter(|_| world.is_open_head(own_id))
    };
    let Some(seat) = seat else {
        return json_response(StatusCode::MISDIRECTED_REQUEST, &Value::Null);
    };
    let own_id = own_id.to_string();
    let events = futures_util::stream::unfold(last_event + 1, move |n| {
        let (world, seat, own_id) = (world.clone(), seat.clone(), own_id.clone());
        async move {
            if n > EVENTS {
                return None;
            }
            loop {
                sleep(Duration::from_millis(15)).await;
                wait_for_contact(&world, &own_id).await;
                wait_until_thawed(&world, &own_id).await;
                let mut world = world.lock().expect("state lock");
                if world.is_frozen(&own_id) {
                    continue;
                }
                if seat.members.iter().all(|m| world.has_joined(m, &seat)) {
                    break;
                }
                let head = world.replicas.get_mut(&own_id)?;
                head.stalled_since.get_or_insert_with(Instant::now);
                if head.has_broken() {
                    return Some((Err(std::io::Error::other("broken")), EVENTS + 1));
                }
            }
            // Without framing, the last line of an event comes with the next event, so that a crash
            // always ends the stream inside an event.
            let withheld = unframed && n > last_event + 1;
            let last_line = if unframed && n < EVENTS { "" } else { "\n" };
            let first_line = if withheld { "\n" } else { "" };
            let mut event = format!("{first_line}id: {n}\ndata: {}\n{last_line}", seat.model);
            let mut next = n + 1;
            match cut {
                Some(Cut::Empty) => return None,
                Some(Cut::Inside(whole)) if n > last_event + whole => {
                    event.truncate(first_line.len() + CUT_BYTES);
                    next = EVENTS + 1;
                }
                _ => {}
            }
            Some((Ok(Frame::data(Bytes::from(event))), next))
        }
    });
    event_stream(events)
}

fn event_stream<S>(events: S) -> Response<Body>
where
    S: futures_util::Stream<Item = Result<Frame<Bytes>, std::io::Error>> + Send + 'static,
{
    let mut response = Response::new(StreamBody::new(events).boxed_unsync());
    let kind = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert("content-type", kind);
    response
}
