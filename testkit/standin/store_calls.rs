//! Answers the calls to the store of the stand-in.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use base64::prelude::{Engine as _, BASE64_STANDARD};
use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::{json, Value};
use tokio::time::sleep;

use super::serve::{json_response, query_value, Body};
use super::world::World;

/// An item of the store as JSON.
pub(super) fn item_json(key: &str, value: &str, revision: i64) -> Value {
    json!({"Key": key, "Value": BASE64_STANDARD.encode(value), "Revision": revision})
}

/// Answers a call; the header `store-era` has the era of the store when the answer was made.
pub(super) async fn on_store_call(
    world: Arc<Mutex<World>>,
    request: Request<Incoming>,
) -> Response<Body> {
    let (mut response, era) = answer_with_era(world, request).await;
    let era = http::HeaderValue::from(era);
    response.headers_mut().insert("store-era", era);
    response
}

/// The answer to a call, and the era of the store when it was made.
pub(super) async fn answer_with_era(
    world: Arc<Mutex<World>>,
    request: Request<Incoming>,
) -> (Response<Body>, u64) {
    let path = request.uri().path().to_string();
    if path.ends_with("kv-watch") && !world.lock().expect("state lock").store_down {
        let since: i64 = query_value(&request, "SinceRev").parse().unwrap_or(0);
        let wait: u64 = query_value(&request, "WaitMs").parse().unwrap_or(0);
        return answer_watch(&world, &query_value(&request, "PathPrefix"), since, wait).await;
    }
    let response = answer_call(&world, request).await;
    let era = world.lock().expect("state lock").era;
    (response, era)
}

/// Answers a call that isn't a watch, or any call while the store is down (503).
pub(super) async fn answer_call(
    world: &Arc<Mutex<World>>,
    request: Request<Incoming>,
) -> Response<Body> {
    if world.lock().expect("state lock").store_down {
        return json_response(StatusCode::SERVICE_UNAVAILABLE, &Value::Null);
    }
    let call = Call::read(request).await;
    if !call.is_write() {
        let response = carry_out(world, &call);
        let delay = world.lock().expect("state lock").renewal_delay(&call.path);
        sleep(delay).await;
        return response;
    }
    let (delay, is_lost) = {
        let mut world = world.lock().expect("state lock");
        let is_last = world.writes + 1 == LOST_ANSWERS_DIVISOR;
        world.writes = if is_last { 0 } else { world.writes + 1 };
        (world.write_delay, world.loses_answers && is_last)
    };
    if let Some(delay) = delay {
        let world = world.clone();
        tokio::spawn(async move {
            sleep(delay).await;
            carry_out(&world, &call);
        });
        return no_answer().await;
    }
    let response = carry_out(world, &call);
    if is_lost {
        return no_answer().await;
    }
    response
}

/// One in this many answers to writes is lost while the store loses answers.
const LOST_ANSWERS_DIVISOR: u64 = 3;

/// Waits until the caller closes its connection.
async fn no_answer() -> Response<Body> {
    std::future::pending().await
}

/// A call that isn't a watch.
struct Call {
    path: String,
    prefix: String,
    method: Method,
    body: Value,
}

impl Call {
    async fn read(request: Request<Incoming>) -> Self {
        let path = request.uri().path().to_string();
        let prefix = query_value(&request, "PathPrefix");
        let method = request.method().clone();
        let body = request.into_body().collect().await;
        let body = body.map(|b| b.to_bytes()).unwrap_or_default();
        Self {
            path,
            prefix,
            method,
            body: serde_json::from_slice(&body).unwrap_or(Value::Null),
        }
    }

    /// Whether it changes something; renewals of leases count as reads.
    fn is_write(&self) -> bool {
        self.path.ends_with("kv-txn") || self.path.ends_with("kv-lease")
    }
}

/// Carries out a call that isn't a watch.
fn carry_out(world: &Arc<Mutex<World>>, call: &Call) -> Response<Body> {
    let Call {
        path,
        prefix,
        method,
        body,
    } = call;
    let delete = method == Method::DELETE;
    let mut world = world.lock().expect("state lock");
    let number = path.rsplit('/').next().and_then(|n| n.parse::<i64>().ok());
    if path.ends_with("kv-range") {
        let items: Vec<_> = world
            .items
            .iter()
            .filter(|(k, _)| k.starts_with(prefix))
            .map(|(k, i)| item_json(k, &i.0, i.1))
            .collect();
        return json_response(
            StatusCode::OK,
            &json!({"Items": items, "HasMore": false, "AsOf": world.revision}),
        );
    }
    if path.ends_with("kv-lease") {
        let ttl = Duration::from_millis(body["TtlMs"].as_u64().unwrap_or(1_000));
        world.revision += 1;
        let lease = world.revision;
        world.leases.insert(lease, (Instant::now() + ttl, ttl));
        return json_response(
            StatusCode::OK,
            &json!({"Lease": lease, "TtlMs": ttl.as_millis() as u64}),
        );
    }
    if let (true, Some(lease)) = (delete, number) {
        world.end_lease(lease);
        return json_response(StatusCode::OK, &json!({}));
    }
    if let Some(lease) = number {
        let Some(found) = world.leases.get_mut(&lease) else {
            return json_response(StatusCode::NOT_FOUND, &json!({}));
        };
        found.0 = Instant::now() + found.1;
        let ttl = found.1.as_millis() as u64;
        return json_response(StatusCode::OK, &json!({"TtlMs": ttl}));
    }
    write_if_current(&mut world, body)
}

/// Executes the writes of a transaction; 412 and no write where an expected revision doesn't
/// match. An unknown lease gives 404; writes listed before it have taken effect.
pub(super) fn write_if_current(world: &mut World, body: &Value) -> Response<Body> {
    let checks = body["ExpectedRev"].as_array().cloned().unwrap_or_default();
    let is_current = |c: &Value| {
        let key = c["Key"].as_str().unwrap_or("");
        let revision = world.items.get(key).map_or(0, |i| i.1);
        revision == c["Revision"].as_i64().unwrap_or(0)
    };
    if !checks.iter().all(is_current) {
        return json_response(StatusCode::PRECONDITION_FAILED, &json!({"Items": []}));
    }
    for put in body["Writes"].as_array().into_iter().flatten() {
        let lease = put["Lease"].as_i64().unwrap_or(0);
        if lease != 0 && !world.leases.contains_key(&lease) {
            return json_response(StatusCode::NOT_FOUND, &json!({}));
        }
        let key = put["Key"].as_str().unwrap_or("");
        let value = BASE64_STANDARD
            .decode(put["Value"].as_str().unwrap_or(""))
            .unwrap_or_default();
        world.put(key, &String::from_utf8_lossy(&value));
        if let Some(item) = world.items.get_mut(key) {
            item.2 = lease;
        }
    }
    json_response(StatusCode::OK, &json!({"Revision": world.revision}))
}

/// Answers a watch with the changes of a prefix after revision `since`; waits up to `wait`
/// milliseconds for the first one. 410 where the history after `since` isn't known: the store was
/// restored from a backup during the watch, has forgotten it, or `since` is higher than its revision.
pub(super) async fn answer_watch(
    world: &Arc<Mutex<World>>,
    prefix: &str,
    since: i64,
    wait: u64,
) -> (Response<Body>, u64) {
    let end = Instant::now() + Duration::from_millis(wait);
    let start_era = world.lock().expect("state lock").era;
    loop {
        {
            let world = world.lock().expect("state lock");
            let is_forgotten = since < world.history_from || since > world.revision;
            if world.era != start_era || is_forgotten {
                return (json_response(StatusCode::GONE, &Value::Null), world.era);
            }
            let changes = world
                .history
                .iter()
                .filter(|(r, k, _)| *r > since && k.starts_with(prefix));
            let events: Vec<_> = changes
                .map(|(r, k, v)| match v {
                    Some(v) => item_json(k, v, *r),
                    None => json!({"Key": k, "Revision": r, "Removed": true}),
                })
                .collect();
            if !events.is_empty() || Instant::now() >= end || world.store_down {
                let body = json!({"events": events, "AsOf": world.revision});
                return (json_response(StatusCode::OK, &body), world.era);
            }
        }
        sleep(Duration::from_millis(5)).await;
    }
}
