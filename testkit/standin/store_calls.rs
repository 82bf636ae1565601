//! Calls to the stand-in of the platform's store.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use base64::prelude::{Engine as _, BASE64_STANDARD};
use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::{json, Value};
use tokio::time::sleep;

use super::serve::{query, whole, Body};
use super::world::World;

pub(super) fn item(key: &str, value: &str, revision: i64) -> Value {
    json!({"Key": key, "Value": BASE64_STANDARD.encode(value), "Revision": revision})
}

/// An answer of the store names its era, as of the time at which it was made.
pub(super) async fn store_call(
    world: Arc<Mutex<World>>,
    request: Request<Incoming>,
) -> Response<Body> {
    let (mut response, era) = store_answer(world, request).await;
    let era = http::HeaderValue::from(era);
    response.headers_mut().insert("store-era", era);
    response
}

pub(super) async fn store_answer(
    world: Arc<Mutex<World>>,
    request: Request<Incoming>,
) -> (Response<Body>, u64) {
    let path = request.uri().path().to_string();
    if path.ends_with("kv-watch") && !world.lock().expect("the world").store_down {
        let since: i64 = query(&request, "SinceRev").parse().unwrap_or(0);
        let wait: u64 = query(&request, "WaitMs").parse().unwrap_or(0);
        return watch(&world, &query(&request, "PathPrefix"), since, wait).await;
    }
    let response = store_reply(&world, request).await;
    let era = world.lock().expect("the world").era;
    (response, era)
}

pub(super) async fn store_reply(
    world: &Arc<Mutex<World>>,
    request: Request<Incoming>,
) -> Response<Body> {
    if world.lock().expect("the world").store_down {
        return whole(StatusCode::SERVICE_UNAVAILABLE, &Value::Null);
    }
    let path = request.uri().path().to_string();
    let prefix = query(&request, "PathPrefix");
    let delete = request.method() == Method::DELETE;
    let body = request
        .into_body()
        .collect()
        .await
        .map(|b| b.to_bytes())
        .unwrap_or_default();
    let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
    let mut world = world.lock().expect("the world");
    let number = path.rsplit('/').next().and_then(|n| n.parse::<i64>().ok());
    if path.ends_with("kv-range") {
        let items: Vec<_> = world
            .items
            .iter()
            .filter(|(k, _)| k.starts_with(&prefix))
            .map(|(k, i)| item(k, &i.0, i.1))
            .collect();
        return whole(
            StatusCode::OK,
            &json!({"Items": items, "HasMore": false, "AsOf": world.revision}),
        );
    }
    if path.ends_with("kv-lease") {
        let ttl = Duration::from_millis(body["TtlMs"].as_u64().unwrap_or(1_000));
        world.revision += 1;
        let lease = world.revision;
        world.leases.insert(lease, (Instant::now() + ttl, ttl));
        return whole(
            StatusCode::OK,
            &json!({"Lease": lease, "TtlMs": ttl.as_millis() as u64}),
        );
    }
    if let (true, Some(lease)) = (delete, number) {
        world.end(lease);
        return whole(StatusCode::OK, &json!({}));
    }
    if let Some(lease) = number {
        let Some(found) = world.leases.get_mut(&lease) else {
            return whole(StatusCode::NOT_FOUND, &json!({}));
        };
        found.0 = Instant::now() + found.1;
        let ttl = found.1.as_millis() as u64;
        return whole(StatusCode::OK, &json!({"TtlMs": ttl}));
    }
    swap(&mut world, &body)
}

pub(super) fn swap(world: &mut World, body: &Value) -> Response<Body> {
    let checks = body["ExpectedRev"].as_array().cloned().unwrap_or_default();
    let stands = |c: &Value| {
        let key = c["Key"].as_str().unwrap_or("");
        let there = world.items.get(key).map_or(0, |i| i.1);
        there == c["Revision"].as_i64().unwrap_or(0)
    };
    if !checks.iter().all(stands) {
        return whole(StatusCode::PRECONDITION_FAILED, &json!({"Items": []}));
    }
    for put in body["Writes"].as_array().into_iter().flatten() {
        let lease = put["Lease"].as_i64().unwrap_or(0);
        if lease != 0 && !world.leases.contains_key(&lease) {
            return whole(StatusCode::NOT_FOUND, &json!({}));
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
    whole(StatusCode::OK, &json!({"Revision": world.revision}))
}

pub(super) async fn watch(
    world: &Arc<Mutex<World>>,
    prefix: &str,
    since: i64,
    wait: u64,
) -> (Response<Body>, u64) {
    let end = Instant::now() + Duration::from_millis(wait);
    let begun = world.lock().expect("the world").era;
    loop {
        {
            let world = world.lock().expect("the world");
            if world.era != begun || since > world.revision {
                return (whole(StatusCode::GONE, &Value::Null), world.era);
            }
            let changes = world
                .log
                .iter()
                .filter(|(r, k, _)| *r > since && k.starts_with(prefix));
            let events: Vec<_> = changes
                .map(|(r, k, v)| match v {
                    Some(v) => item(k, v, *r),
                    None => json!({"Key": k, "Revision": r, "Removed": true}),
                })
                .collect();
            if !events.is_empty() || Instant::now() >= end || world.store_down {
                let body = json!({"events": events, "AsOf": world.revision});
                return (whole(StatusCode::OK, &body), world.era);
            }
        }
        sleep(Duration::from_millis(5)).await;
    }
}
