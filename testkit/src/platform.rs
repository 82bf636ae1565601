use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use serde::Serialize;
use serde_json::{json, Value};
use tiny_http::{Request, Server};

use crate::respond;

/// A fault of the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlatformFault {
    /// No fault.
    #[default]
    None,
    /// Every call is answered with 503 and not carried out; open watches are aborted.
    Down,
    /// Every call is delayed by this time.
    Slow(Duration),
    /// Transactions are carried out but answered with 503.
    LoseWriteAnswers,
}

/// One row of the instance list.
#[derive(Clone, Debug, Serialize)]
pub struct ListedInstance {
    /// Instance id.
    pub id: String,
    /// Data hall.
    pub hall: String,
    /// Fabric domain.
    pub domain: String,
    /// `router`, `engine` or `service:<name>`.
    pub kind: String,
    /// `live` or `leaving`.
    pub state: String,
    /// Address at which other processes reach it.
    pub addr: SocketAddr,
}

/// A stand-in of the platform: the etcd v3 JSON API and the instance list.
#[derive(Clone)]
pub struct Platform {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    revision: i64,
    keys: BTreeMap<String, StoredValue>,
    history: Vec<Change>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
    fault: PlatformFault,
    instances: Vec<ListedInstance>,
    list_version: u64,
    reads: u64,
    writes: u64,
    watches: u64,
}

#[derive(Clone)]
struct StoredValue {
    value: String,
    created: i64,
    modified: i64,
    lease: i64,
}

struct Change {
    revision: i64,
    key: String,
    value: Option<StoredValue>,
}

struct Lease {
    /// Time to live, in seconds.
    ttl: u64,
    expires_at: Instant,
}

impl Platform {
    /// Starts it on a free port.
    ///
    /// # Panics
    /// When no port is free.
    pub fn start() -> Self {
        let server = Server::http("127.0.0.1:0").expect("a port");
        let addr = server.server_addr().to_ip().expect("an IP address");
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                revision: 1,
                next_lease: 1,
                list_version: 1,
                ..State::default()
            }),
            changed: Condvar::new(),
        });
        let platform = Self { addr, shared };
        let serving = platform.clone();
        std::thread::spawn(move || {
            for request in server.incoming_requests() {
                let platform = serving.clone();
                std::thread::spawn(move || platform.serve(request));
            }
        });
        platform
    }

    /// Its address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the fault from now on.
    pub fn set_fault(&self, fault: PlatformFault) {
        self.lock().fault = fault;
        self.shared.changed.notify_all();
    }

    /// Replaces the instance list.
    pub fn set_instances(&self, instances: Vec<ListedInstance>) {
        let mut state = self.lock();
        state.instances = instances;
        state.list_version += 1;
    }

    /// Changes the state of one instance in the list; `None` removes it.
    pub fn set_state(&self, id: &str, to: Option<&str>) {
        let mut state = self.lock();
        match to {
            None => state.instances.retain(|i| i.id != id),
            Some(to) => {
                for instance in state.instances.iter_mut().filter(|i| i.id == id) {
                    instance.state = to.to_string();
                }
            }
        }
        state.list_version += 1;
    }

    /// Current value of a key.
    pub fn get(&self, key: &str) -> Option<String> {
        self.lock().keys.get(key).map(|k| k.value.clone())
    }

    /// Keys that begin with a prefix, and their values.
    pub fn scan(&self, prefix: &str) -> Vec<(String, String)> {
        let state = self.lock();
        let keys = state.keys.iter().filter(|(k, _)| k.starts_with(prefix));
        keys.map(|(k, v)| (k.clone(), v.value.clone())).collect()
    }

    /// Writes a key as another client would.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.lock();
        state.revision += 1;
        state.put(key, value, 0);
        drop(state);
        self.shared.changed.notify_all();
    }

    /// Numbers of reads, writes (with lease calls) and watches so far.
    pub fn calls(&self) -> (u64, u64, u64) {
        let state = self.lock();
        (state.reads, state.writes, state.watches)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn serve(&self, mut request: Request) {
        let url = request.url().to_string();
        let body = respond::read_json(&mut request);
        let fault = self.lock().fault;
        match fault {
            PlatformFault::Down => return respond::json(request, 503, &json!({})),
            PlatformFault::Slow(time) => std::thread::sleep(time),
            _ => {}
        }
        if url.starts_with("/instances") {
            return self.answer_list(request, &url);
        }
        if url == "/v3/watch" {
            return self.answer_watch(request, &body);
        }
        let answer = self.answer_call(&url, &body);
        self.shared.changed.notify_all();
        let lost = fault == PlatformFault::LoseWriteAnswers && url == "/v3/kv/txn";
        match answer {
            Some(answer) if !lost => respond::json(request, 200, &answer),
            _ => respond::json(request, 503, &json!({})),
        }
    }

    fn answer_call(&self, url: &str, body: &Value) -> Option<Value> {
        let mut state = self.lock();
        state.expire_leases();
        match url {
            "/v3/kv/range" => {
                state.reads += 1;
                Some(state.range(body))
            }
            "/v3/kv/txn" => {
                state.writes += 1;
                state.txn(body)
            }
            "/v3/lease/grant" => {
                state.writes += 1;
                Some(state.grant(body))
            }
            "/v3/lease/keepalive" => {
                state.writes += 1;
                Some(state.keep_alive(body))
            }
            _ => None,
        }
    }

    fn answer_list(&self, request: Request, url: &str) {
        let hall = url.split_once("hall=").map(|(_, h)| h.to_string());
        let state = self.lock();
        let tag = state.list_version.to_string();
        if respond::header(&request, "If-None-Match").as_deref() == Some(&tag) {
            drop(state);
            let _ = request.respond(tiny_http::Response::empty(304));
            return;
        }
        let wanted =
            |i: &&ListedInstance| i.kind == "router" || hall.as_deref().is_none_or(|h| i.hall == h);
        let rows: Vec<_> = state.instances.iter().filter(wanted).cloned().collect();
        drop(state);
        let body = json!({ "instances": rows }).to_string();
        let mut response = tiny_http::Response::from_data(body);
        if let Ok(header) = tiny_http::Header::from_bytes("ETag", tag) {
            response.add_header(header);
        }
        let _ = request.respond(response);
    }

    fn answer_watch(&self, request: Request, body: &Value) {
        let create = &body["create_request"];
        let (from, to) = key_range(create);
        let mut next = parse_number(&create["start_revision"]);
        self.lock().watches += 1;
        let mut writer = request.into_writer();
        if respond::stream_head(&mut *writer, "application/json").is_err() {
            return;
        }
        loop {
            let Some((events, revision)) = self.wait_changes(&from, &to, next) else {
                // The HTTP server keeps the connection open. Bytes that aren't a chunk abort the
                // watch.
                let _ = writer.write_all(b"broken\r\n");
                let _ = writer.flush();
                return;
            };
            next = revision + 1;
            let line = json!({ "result": { "header": { "revision": revision.to_string() }, "events": events } });
            if respond::chunk(&mut *writer, &format!("{line}\n")).is_err() {
                return;
            }
        }
    }

    /// Waits for changes of a key range from revision `next` on; returns them and the current
    /// revision. `None` when the platform is down.
    fn wait_changes(&self, from: &str, to: &str, next: i64) -> Option<(Vec<Value>, i64)> {
        let mut state = self.lock();
        loop {
            if state.fault == PlatformFault::Down {
                return None;
            }
            let events: Vec<_> = state
                .history
                .iter()
                .filter(|c| c.revision >= next && in_range(&c.key, from, to))
                .map(Change::to_json)
                .collect();
            if !events.is_empty() {
                return Some((events, state.revision));
            }
            let waited = self
                .shared
                .changed
                .wait_timeout(state, Duration::from_millis(200));
            state = waited.unwrap_or_else(|e| e.into_inner()).0;
            state.expire_leases();
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: i64) {
        let created = self.keys.get(key).map_or(self.revision, |k| k.created);
        let stored = StoredValue {
            value: value.to_string(),
            created,
            modified: self.revision,
            lease,
        };
        self.keys.insert(key.to_string(), stored.clone());
        self.history.push(Change {
            revision: self.revision,
            key: key.to_string(),
            value: Some(stored),
        });
    }

    fn delete(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.history.push(Change {
                revision: self.revision,
                key: key.to_string(),
                value: None,
            });
        }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<_> = self
            .leases
            .iter()
            .filter(|(_, l)| l.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.leases.remove(&id);
            let keys: Vec<_> = self
                .keys
                .iter()
                .filter(|(_, k)| k.lease == id)
                .map(|(k, _)| k.clone())
                .collect();
            for key in keys {
                self.revision += 1;
                self.delete(&key);
            }
        }
    }

    fn header(&self) -> Value {
        json!({ "revision": self.revision.to_string() })
    }

    fn range(&self, body: &Value) -> Value {
        let (from, to) = key_range(body);
        let kvs: Vec<_> = self
            .keys
            .iter()
            .filter(|(k, _)| in_range(k, &from, &to))
            .map(|(k, v)| v.to_json(k))
            .collect();
        json!({ "header": self.header(), "kvs": kvs, "count": kvs.len().to_string() })
    }

    fn txn(&mut self, body: &Value) -> Option<Value> {
        let holds = array(&body["compare"]).iter().all(|c| {
            let key = decode_text(&c["key"]);
            let modified = self.keys.get(&key).map_or(0, |k| k.modified);
            modified == parse_number(&c["mod_revision"])
        });
        let branch = if holds { "success" } else { "failure" };
        let has_writes = holds && !array(&body["success"]).is_empty();
        if has_writes {
            self.revision += 1;
        }
        let mut responses = Vec::new();
        for op in array(&body[branch]) {
            if let Some(put) = op.get("request_put") {
                self.put(
                    &decode_text(&put["key"]),
                    &decode_text(&put["value"]),
                    parse_number(&put["lease"]),
                );
                responses.push(json!({ "response_put": {} }));
            } else if let Some(delete) = op.get("request_delete_range") {
                self.delete(&decode_text(&delete["key"]));
                responses.push(json!({ "response_delete_range": {} }));
            } else if let Some(range) = op.get("request_range") {
                responses.push(json!({ "response_range": self.range(range) }));
            }
        }
        Some(json!({ "header": self.header(), "succeeded": holds, "responses": responses }))
    }

    fn grant(&mut self, body: &Value) -> Value {
        let ttl = parse_number(&body["TTL"]).max(1) as u64;
        let id = self.next_lease;
        self.next_lease += 1;
        let expires_at = Instant::now() + Duration::from_secs(ttl);
        self.leases.insert(id, Lease { ttl, expires_at });
        json!({ "header": self.header(), "ID": id.to_string(), "TTL": ttl.to_string() })
    }

    fn keep_alive(&mut self, body: &Value) -> Value {
        let id = parse_number(&body["ID"]);
        let mut result = json!({ "ID": id.to_string() });
        if let Some(lease) = self.leases.get_mut(&id) {
            lease.expires_at = Instant::now() + Duration::from_secs(lease.ttl);
            result["TTL"] = Value::String(lease.ttl.to_string());
        }
        json!({ "result": result })
    }
}

impl StoredValue {
    fn to_json(&self, key: &str) -> Value {
        json!({
            "key": STANDARD.encode(key),
            "value": STANDARD.encode(&self.value),
            "create_revision": self.created.to_string(),
            "mod_revision": self.modified.to_string(),
            "lease": self.lease.to_string(),
        })
    }
}

impl Change {
    fn to_json(&self) -> Value {
        match &self.value {
            Some(stored) => json!({ "kv": stored.to_json(&self.key) }),
            None => json!({
                "type": "DELETE",
                "kv": {
                    "key": STANDARD.encode(&self.key),
                    "mod_revision": self.revision.to_string(),
                },
            }),
        }
    }
}

/// First key of a range and its end, which is exclusive; the end is empty for a single key.
fn key_range(body: &Value) -> (String, String) {
    (decode_text(&body["key"]), decode_text(&body["range_end"]))
}

fn in_range(key: &str, from: &str, to: &str) -> bool {
    if to.is_empty() {
        key == from
    } else {
        key >= from && key < to
    }
}

fn decode_text(value: &Value) -> String {
    let bytes = value.as_str().and_then(|t| STANDARD.decode(t).ok());
    bytes
        .and_then(|b| String::from_utf8(b).ok())
        .unwrap_or_default()
}

fn parse_number(value: &Value) -> i64 {
    match value {
        Value::String(text) => text.parse().unwrap_or(0),
        other => other.as_i64().unwrap_or(0),
    }
}

fn array(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], |v| v.as_slice())
}
