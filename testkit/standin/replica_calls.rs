//! Calls to a stand-in of a replica.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use serde_json::{json, Value};
use tokio::time::sleep;

use super::serve::{whole, Body};
use super::world::World;

/// Time that a group without a member stands still.
pub(super) const STALL: Duration = Duration::from_millis(4_000);

/// Time after which a replica has crashed that runs a request with the fatal body.
const CRASH: Duration = Duration::from_millis(10);

/// Body of a request that crashes each replica that runs it.
pub const FATAL: &str = "fatal";

/// Events of one stream.
pub const EVENTS: u64 = 12;

pub(super) async fn replica_call(
    world: Arc<Mutex<World>>,
    me: String,
    request: Request<Incoming>,
) -> Response<Body> {
    let text = |name: &str| {
        let value = request.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or("").to_string()
    };
    let (expected, attempt) = (text("x-expect-instance"), text("x-attempt-id"));
    let last: u64 = text("last-event-id").parse().unwrap_or(0);
    let path = request.uri().path().to_string();
    if expected != me {
        return whole(StatusCode::MISDIRECTED_REQUEST, &Value::Null);
    }
    if path == "/runrail/report" {
        return whole(StatusCode::OK, &json!({"pace": 1.0}));
    }
    if path == "/runrail/order" {
        let body = request
            .into_body()
            .collect()
            .await
            .map(|b| b.to_bytes())
            .unwrap_or_default();
        let mut body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        let mut world = world.lock().expect("the world");
        let members = body["Members"].as_array().cloned().unwrap_or_default();
        let addr = world.replicas[&me].addr.to_string();
        let rank = members.iter().position(|m| m == me.as_str()).unwrap_or(0);
        body["rank_of"] = json!({ addr: rank });
        let status = world.order(&me, &body);
        world.list();
        return whole(status, &Value::Null);
    }
    let (pool, limit) = {
        let mut world = world.lock().expect("the world");
        let Some(replica) = world.replicas.get_mut(&me) else {
            return whole(StatusCode::MISDIRECTED_REQUEST, &Value::Null);
        };
        replica.arrivals.push(Instant::now());
        (replica.service == "pool", replica.limit)
    };
    let body = request.into_body().collect().await;
    let fatal = body.is_ok_and(|b| b.to_bytes() == FATAL.as_bytes());
    let heads = !pool || world.lock().expect("the world").heads(&me);
    if heads {
        runs(&world, &me, &attempt, fatal);
    }
    let mut response = if pool {
        stream(world, &me, last)
    } else {
        sleep(Duration::from_millis(5)).await;
        if path.starts_with("/once/") {
            let mut world = world.lock().expect("the world");
            *world.once.entry(attempt.clone()).or_default() += 1;
        }
        whole(StatusCode::OK, &json!({"by": me}))
    };
    if let Some(Ok(value)) = limit.map(|l| l.to_string().parse()) {
        response.headers_mut().insert("server-limit", value);
    }
    if let Ok(value) = attempt.parse() {
        response.headers_mut().insert("x-attempt-id", value);
    }
    if let Ok(value) = me.parse() {
        response.headers_mut().insert("x-response-stamp", value);
    }
    response
}

/// A request begins to run; one with the fatal body crashes the replica soon.
fn runs(world: &Arc<Mutex<World>>, me: &str, attempt: &str, fatal: bool) {
    let mut known = world.lock().expect("the world");
    *known.ran.entry(attempt.to_string()).or_default() += 1;
    if !fatal {
        return;
    }
    known.fatal.push(Instant::now());
    let (world, me) = (world.clone(), me.to_string());
    tokio::spawn(async move {
        sleep(CRASH).await;
        world.lock().expect("the world").kill(&me);
    });
}

/// The events of a stream; it stands still while a member is missing.
pub(super) fn stream(world: Arc<Mutex<World>>, me: &str, last: u64) -> Response<Body> {
    let seat = {
        let world = world.lock().expect("the world");
        let seat = world.replicas[me].seat.clone();
        seat.filter(|s| s.rank == 0 && s.state() == "open")
    };
    let Some(seat) = seat else {
        return whole(StatusCode::MISDIRECTED_REQUEST, &Value::Null);
    };
    let me = me.to_string();
    let events = futures_util::stream::unfold(last + 1, move |n| {
        let (world, seat, me) = (world.clone(), seat.clone(), me.clone());
        async move {
            if n > EVENTS {
                return None;
            }
            loop {
                sleep(Duration::from_millis(15)).await;
                let mut world = world.lock().expect("the world");
                if seat.members.iter().all(|m| world.holds(m, &seat)) {
                    break;
                }
                let head = world.replicas.get_mut(&me)?;
                let since = *head.stalled.get_or_insert_with(Instant::now);
                if since.elapsed() > STALL {
                    return Some((Err(std::io::Error::other("broken")), EVENTS + 1));
                }
            }
            let bytes = Bytes::from(format!("id: {n}\ndata: {}\n\n", seat.model));
            Some((Ok(Frame::data(bytes)), n + 1))
        }
    });
    let mut response = Response::new(StreamBody::new(events).boxed_unsync());
    let kind = http::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert("content-type", kind);
    response
}
