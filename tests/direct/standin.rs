//! Stand-in of the users' platform: its store and its replicas, on loopback.
//!
//! It speaks the published protocol and keeps an audit: what ran how often, and
//! whether anyone joined another group while its head was open.

use std::collections::{BTreeMap, HashMap};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use base64::prelude::{Engine as _, BASE64_STANDARD};
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::time::sleep;

type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// Time of a join where the model was held just before, and of opening.
const QUICK: Duration = Duration::from_millis(60);
/// Time of a join from the host.
const WARM: Duration = Duration::from_millis(150);
/// Time of a load.
const LOAD: Duration = Duration::from_millis(300);
/// Time that a group without a member stands still.
const STALL: Duration = Duration::from_millis(4_000);
/// Time between two heartbeats of a replica, in milliseconds.
const BEAT_MS: u64 = 400;
/// Time after which a replica has crashed that runs a request with the fatal body.
const CRASH: Duration = Duration::from_millis(10);
/// Body of a request that crashes each replica that runs it.
pub const FATAL: &str = "fatal";
/// Events of one stream.
pub const EVENTS: u64 = 12;

#[derive(Default)]
pub struct World {
    /// How often the store has come back from a copy.
    era: u64,
    revision: i64,
    items: BTreeMap<String, (String, i64, i64)>,
    log: Vec<(i64, String, Option<String>)>,
    leases: HashMap<i64, (Instant, Duration)>,
    pub store_down: bool,
    replicas: BTreeMap<String, Replica>,
    /// Runs by attempt, of requests that may not be repeated.
    pub once: HashMap<String, u32>,
    /// What must not happen and did.
    pub broken: Vec<String>,
}

/// What a store holds, kept to come back to.
pub struct Copy {
    revision: i64,
    items: BTreeMap<String, (String, i64, i64)>,
    log: Vec<(i64, String, Option<String>)>,
    leases: HashMap<i64, (Instant, Duration)>,
}

struct Replica {
    addr: SocketAddr,
    service: &'static str,
    /// When this life began, in Unix milliseconds.
    born: u64,
    alive: bool,
    silent: bool,
    staged: Option<String>,
    last: Option<String>,
    seat: Option<Seat>,
    epoch: u64,
    fence: u64,
    stalled: Option<Instant>,
    /// Requests a second that its answers name as its limit.
    limit: Option<f64>,
    /// When requests arrived.
    arrivals: Vec<Instant>,
    runtime: Option<Runtime>,
}

#[derive(Clone)]
struct Seat {
    group: String,
    epoch: u64,
    rank: usize,
    members: Vec<String>,
    model: String,
    ready_at: Instant,
    open_at: Option<Instant>,
    closing: bool,
}

impl Seat {
    fn state(&self) -> &'static str {
        let now = Instant::now();
        match self.open_at {
            _ if now < self.ready_at => "joining",
            Some(_) if self.closing => "closing",
            Some(at) if now >= at => "open",
            _ => "ready",
        }
    }
}

/// The platform while a test runs.
pub struct Standin {
    world: Arc<Mutex<World>>,
    pub store: SocketAddr,
    _runtime: Runtime,
}

fn runtime() -> Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .expect("a runtime")
}

impl Standin {
    /// A store with a configuration, and replicas that are listed.
    pub fn start(engines: usize, plain: usize) -> Self {
        let world = Arc::new(Mutex::new(World::default()));
        let runtime = runtime();
        let inside = world.clone();
        let store = serve(&runtime, move |request| store_call(inside.clone(), request));
        let standin = Self {
            world,
            store,
            _runtime: runtime,
        };
        standin.world().put("op/config", &config(1));
        for n in 0..engines {
            standin.add(&format!("e{n}"), "pool");
        }
        for n in 0..plain {
            standin.add(&format!("p{n}"), "gate");
        }
        let world = standin.world.clone();
        standin._runtime.spawn(async move {
            loop {
                sleep(Duration::from_millis(30)).await;
                let mut world = world.lock().expect("the world");
                world.expire();
                world.list();
            }
        });
        standin
    }

    pub fn world(&self) -> MutexGuard<'_, World> {
        self.world.lock().expect("the world")
    }

    /// Adds an empty replica.
    pub fn add(&self, id: &str, service: &'static str) {
        let runtime = runtime();
        let (world, me) = (self.world.clone(), id.to_string());
        let addr = serve(&runtime, move |request| {
            replica_call(world.clone(), me.clone(), request)
        });
        let replica = Replica {
            addr,
            service,
            born: unix_ms(),
            alive: true,
            silent: false,
            staged: None,
            last: None,
            seat: None,
            epoch: 0,
            fence: 0,
            stalled: None,
            limit: None,
            arrivals: Vec::new(),
            runtime: Some(runtime),
        };
        self.world().replicas.insert(id.to_string(), replica);
    }

    /// Ends a replica without a word; it starts again under its id, at its address.
    pub fn restart(&self, id: &str) {
        self.kill(id);
        let Some(addr) = self.world().replicas.get(id).map(|r| r.addr) else {
            return;
        };
        let runtime = runtime();
        let (world, me) = (self.world.clone(), id.to_string());
        serve_at(addr, &runtime, move |request| {
            replica_call(world.clone(), me.clone(), request)
        });
        let mut world = self.world();
        if let Some(replica) = world.replicas.get_mut(id) {
            replica.born = unix_ms().max(replica.born + 1);
            replica.alive = true;
            replica.last = None;
            replica.seat = None;
            replica.epoch = 0;
            replica.fence = 0;
            replica.stalled = None;
            replica.runtime = Some(runtime);
        }
        world.list();
    }

    /// Ids of all replicas that work.
    pub fn alive(&self) -> Vec<String> {
        let world = self.world();
        let alive = world.replicas.iter().filter(|(_, r)| r.alive);
        alive.map(|(id, _)| id.clone()).collect()
    }

    /// Ends a replica for good, without a word.
    pub fn kill(&self, id: &str) {
        self.world().kill(id);
    }

    /// Members of open groups, by group, the head first.
    pub fn open_groups(&self) -> Vec<Vec<String>> {
        let world = self.world();
        let heads = world.replicas.values().filter_map(|r| {
            let seat = r
                .seat
                .as_ref()
                .filter(|s| s.rank == 0 && s.state() == "open")?;
            let all = seat.members.iter().all(|m| world.holds(m, seat));
            (r.alive && all).then(|| seat.members.clone())
        });
        heads.collect()
    }
}

impl World {
    /// Puts a configuration in force.
    pub fn configure(&mut self, text: &str) {
        self.put("op/config", text);
    }

    /// A copy of the store as it is now.
    pub fn copy(&self) -> Copy {
        Copy {
            revision: self.revision,
            items: self.items.clone(),
            log: self.log.clone(),
            leases: self.leases.clone(),
        }
    }

    /// The store comes back as it was: what was written since is gone, and its revisions are
    /// given out again.
    pub fn restore(&mut self, copy: Copy) {
        self.era += 1;
        self.revision = copy.revision;
        self.items = copy.items;
        self.log = copy.log;
        self.leases = copy.leases;
    }

    /// A replica that writes no entry of its own any more, but works on.
    pub fn silence(&mut self, id: &str) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.silent = true;
        }
    }

    /// Another writer's value under a key.
    pub fn configure_key(&mut self, key: &str, value: &str) {
        self.put(key, value);
    }

    /// A replica names a limit in its answers from now on, or none any more.
    pub fn limit(&mut self, id: &str, limit: Option<f64>) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.limit = limit;
        }
    }

    /// Requests that have arrived at a replica since a time, and when.
    pub fn arrivals(&self, id: &str, since: Instant) -> Vec<Instant> {
        let all = self.replicas.get(id).map_or(&[][..], |r| &r.arrivals);
        all.iter().copied().filter(|at| *at >= since).collect()
    }

    /// Writes of others that only make the revision rise.
    pub fn write_unrelated(&mut self, count: usize) {
        for n in 0..count {
            self.put("other/key", &n.to_string());
        }
    }

    /// Ends a replica for good, without a word.
    fn kill(&mut self, id: &str) {
        let runtime = self.replicas.get_mut(id).and_then(|r| {
            r.alive = false;
            r.runtime.take()
        });
        if let Some(runtime) = runtime {
            runtime.shutdown_background();
        }
    }

    fn put(&mut self, key: &str, value: &str) {
        self.revision += 1;
        let old = self.items.get(key).map_or(0, |i| i.2);
        self.items
            .insert(key.to_string(), (value.to_string(), self.revision, old));
        self.log
            .push((self.revision, key.to_string(), Some(value.to_string())));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.log.push((self.revision, key.to_string(), None));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, l)| now >= l.0)
            .map(|(n, _)| *n)
            .collect();
        for lease in over {
            self.end(lease);
        }
    }

    fn end(&mut self, lease: i64) {
        self.leases.remove(&lease);
        let keys: Vec<_> = self
            .items
            .iter()
            .filter(|(_, i)| i.2 == lease)
            .map(|(k, _)| k.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }

    /// Brings the list up to date.
    fn list(&mut self) {
        let entries: Vec<_> = self
            .replicas
            .iter()
            .filter(|(_, r)| !r.silent)
            .map(|(id, r)| (format!("servers/{id}"), r.alive.then(|| r.entry())))
            .collect();
        for (key, entry) in entries {
            let known = self.items.get(&key).map(|i| i.0.clone());
            match entry {
                Some(entry) if known.as_ref() != Some(&entry) => self.put(&key, &entry),
                None => self.remove(&key),
                Some(_) => {}
            }
        }
    }

    /// Whether a member stands in a seat's group.
    fn holds(&self, member: &str, seat: &Seat) -> bool {
        let there = self.replicas.get(member).filter(|r| r.alive);
        let other = there.and_then(|r| r.seat.as_ref());
        other.is_some_and(|s| {
            s.group == seat.group && s.epoch == seat.epoch && s.state() != "joining"
        })
    }

    fn order(&mut self, id: &str, body: &Value) -> StatusCode {
        let text = |name: &str| body[name].as_str().unwrap_or("").to_string();
        let (what, group, epoch) = (
            text("Operation"),
            text("group"),
            body["epoch"].as_u64().unwrap_or(0),
        );
        let fence = body["Fence"].as_u64().unwrap_or(0);
        if what == "join" {
            self.audit_join(id, &group);
        }
        let Some(replica) = self.replicas.get_mut(id) else {
            return StatusCode::MISDIRECTED_REQUEST;
        };
        if fence < replica.fence || (what == "join" && epoch < replica.epoch) {
            return StatusCode::PRECONDITION_FAILED;
        }
        replica.fence = fence;
        replica.order(&what, group, epoch, body)
    }

    /// Rule TWO: nobody joins another group while the head of its own is open.
    fn audit_join(&mut self, id: &str, group: &str) {
        let Some(seat) = self.replicas.get(id).and_then(|r| r.seat.clone()) else {
            return;
        };
        let Some(head) = self.replicas.get(&seat.members[0]).filter(|h| h.alive) else {
            return;
        };
        let own = head.seat.as_ref().filter(|s| s.group == seat.group);
        let stalls = head.stalled.is_none_or(|at| at.elapsed() < STALL);
        if seat.group != group && stalls && own.is_some_and(|s| s.state() == "open") {
            let told = format!("TWO: {id} joins {group} while {} is open", seat.group);
            self.broken.push(told);
        }
    }
}

impl Replica {
    /// Heartbeats in this life so far.
    fn beats(&self) -> u64 {
        1 + unix_ms().saturating_sub(self.born) / BEAT_MS
    }

    fn entry(&self) -> String {
        let mut entry = json!({"Service": self.service, "Address": self.addr.to_string(),
            "Zone": "h1", "Slots": 8, "State": "ready", "Seq": self.beats(), "born": self.born,
            "Version": "v1", "ColdLeftMs": 0});
        if self.service == "pool" {
            entry["Domain"] = json!("d1");
            entry["Staged"] = json!(self.staged.iter().collect::<Vec<_>>());
            let models = self.last.iter().map(|m| json!({"Name": m, "Version": 1}));
            entry["Models"] = models.collect::<Vec<_>>().into();
            entry["group"] = self.seat.as_ref().map_or(
                Value::Null,
                |s| json!({"Name": s.group, "epoch": s.epoch, "rank": s.rank, "State": s.state()}),
            );
        }
        entry.to_string()
    }

    fn order(&mut self, what: &str, group: String, epoch: u64, body: &Value) -> StatusCode {
        let here = self
            .seat
            .as_ref()
            .is_some_and(|s| s.group == group && s.epoch == epoch);
        match what {
            "join" if here => StatusCode::OK,
            "join" => {
                let model = body["Model"].as_str().unwrap_or("").to_string();
                let members: Vec<String> = body["Members"]
                    .as_array()
                    .into_iter()
                    .flatten()
                    .filter_map(|m| Some(m.as_str()?.to_string()))
                    .collect();
                let port = self.addr;
                let takes = if self.last.as_ref() == Some(&model) {
                    QUICK
                } else if self.staged.as_ref() == Some(&model) {
                    WARM
                } else {
                    LOAD
                };
                self.epoch = epoch;
                self.staged = Some(model.clone());
                self.last = Some(model.clone());
                self.stalled = None;
                let rank = body["rank_of"][port.to_string()].as_u64().unwrap_or(0) as usize;
                self.seat = Some(Seat {
                    group,
                    epoch,
                    rank,
                    members,
                    model,
                    ready_at: Instant::now() + takes,
                    open_at: None,
                    closing: false,
                });
                StatusCode::ACCEPTED
            }
            "Stage" => {
                self.staged = body["Model"].as_str().map(str::to_string);
                StatusCode::ACCEPTED
            }
            "open" if here => match self.seat.as_mut().filter(|s| s.state() != "joining") {
                Some(seat) => {
                    seat.open_at.get_or_insert(Instant::now() + QUICK);
                    StatusCode::ACCEPTED
                }
                None => StatusCode::CONFLICT,
            },
            "close" if here => {
                if let Some(seat) = &mut self.seat {
                    seat.open_at = None;
                }
                StatusCode::OK
            }
            "leave" if here => {
                self.seat = None;
                StatusCode::OK
            }
            _ => StatusCode::CONFLICT,
        }
    }
}

fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.expect("a time after 1970").as_millis() as u64
}

/// Listens on a free port and answers each request.
fn serve<F, R>(runtime: &Runtime, answer: F) -> SocketAddr
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
    R: std::future::Future<Output = Response<Body>> + Send + 'static,
{
    serve_at(SocketAddr::from(([127, 0, 0, 1], 0)), runtime, answer)
}

/// Listens at an address, which may just have been given up, and answers each request.
fn serve_at<F, R>(addr: SocketAddr, runtime: &Runtime, answer: F) -> SocketAddr
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
    R: std::future::Future<Output = Response<Body>> + Send + 'static,
{
    let since = Instant::now();
    let listener = loop {
        match runtime.block_on(TcpListener::bind(addr)) {
            Ok(listener) => break listener,
            Err(e) => assert!(since.elapsed() < Duration::from_secs(5), "{addr}: {e}"),
        }
        std::thread::sleep(Duration::from_millis(5));
    };
    let addr = listener.local_addr().expect("an address");
    runtime.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let answer = answer.clone();
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    let answer = answer(request);
                    async move { Ok::<_, Infallible>(answer.await) }
                });
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
    addr
}

fn whole(status: StatusCode, body: &Value) -> Response<Body> {
    let text = if body.is_null() {
        String::new()
    } else {
        body.to_string()
    };
    let body = Full::new(Bytes::from(text)).map_err(std::io::Error::other);
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}

fn query(request: &Request<Incoming>, name: &str) -> String {
    let query = request.uri().query().unwrap_or("");
    let found = query
        .split('&')
        .filter_map(|p| p.split_once('='))
        .find(|(n, _)| *n == name);
    found.map(|(_, v)| v.to_string()).unwrap_or_default()
}

fn item(key: &str, value: &str, revision: i64) -> Value {
    json!({"Key": key, "Value": BASE64_STANDARD.encode(value), "Revision": revision})
}

/// An answer of the store names its era, as of the time at which it was made.
async fn store_call(world: Arc<Mutex<World>>, request: Request<Incoming>) -> Response<Body> {
    let (mut response, era) = store_answer(world, request).await;
    let era = http::HeaderValue::from(era);
    response.headers_mut().insert("store-era", era);
    response
}

async fn store_answer(
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

async fn store_reply(world: &Arc<Mutex<World>>, request: Request<Incoming>) -> Response<Body> {
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

fn swap(world: &mut World, body: &Value) -> Response<Body> {
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

async fn watch(
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

async fn replica_call(
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
    if body.is_ok_and(|b| b.to_bytes() == FATAL.as_bytes()) {
        let (world, me) = (world.clone(), me.clone());
        tokio::spawn(async move {
            sleep(CRASH).await;
            world.lock().expect("the world").kill(&me);
        });
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

/// The events of a stream; it stands still while a member is missing.
fn stream(world: Arc<Mutex<World>>, me: &str, last: u64) -> Response<Body> {
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

/// The configuration: `/stream/` to one model of three, `/once/` and `/safe/`.
pub fn config(version: u64) -> String {
    let route = |name: &str, kind: &str, service: &str| {
        json!({"Name": name, "Host": "a.example", "PathPrefix": format!("/{name}/"), "Kind": kind,
            "TimeoutMs": 6000, "SloMs": 2000, "Priority": 1, "Service": service, "MaxAttempts": 3,
            "Resumable": kind == "streaming", "GapTargetMs": 300})
    };
    json!({"Version": version,
        "Routes": [route("stream", "streaming", "pool"), route("once", "unsafe", "gate"), route("safe", "safe", "gate")],
        "Services": [{"Name": "gate", "MaxConns": 50}, {"Name": "pool", "MaxConns": 50, "Engine": {
            "Slots": 8, "Stride": 1, "step_ms": 5.0, "read_per_s": 50000.0, "LoadsPerS": 50.0, "loads_at_once": 9,
            "Retains": 1, "FormMs": 60.0,
            "Models": [{"Name": "big", "size": 3, "Share": 1.0, "pace": 1.0, "LoadS": 0.3, "WarmupS": 0.15}]}}],
        "Tenants": [{"Name": "ann", "ApiKeys": ["k1"]}]})
    .to_string()
}
