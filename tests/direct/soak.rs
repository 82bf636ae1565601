//! The whole path as real processes against the stand-in, with random faults.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use testkit::free_addr;

use crate::standin::{config, Standin, EVENTS};

/// A router as a real process; killed when it is dropped.
struct Router {
    child: Child,
    callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    id: String,
}

impl Router {
    fn start(id: &str, store: SocketAddr, dir: &std::path::Path) -> Self {
        let (callers, ready, peers) = (free_addr(), free_addr(), free_addr());
        let settings = dir.join(format!("{id}.ini"));
        let text = format!(
            "[instance]\nid = {id}\nhall = h1\n[listen]\ncallers = {callers}\nready = {ready}\npeers = {peers}\n\
             [direct]\nstore = {store}\nfirst_start = true\n[stop]\ngrace_s = 4\n"
        );
        std::fs::write(&settings, text).expect("settings");
        let child = spawn(&settings);
        let id = id.to_string();
        Self {
            child,
            callers,
            ready,
            settings,
            id,
        }
    }

    fn kill(&mut self) {
        // A process that has ended is as good as killed.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    fn restart(&mut self) {
        self.kill();
        self.child = spawn(&self.settings);
    }

    fn is_ready(&self) -> bool {
        call(self.ready, "GET", "/runrail/ready", "").is_some_and(|a| a.status == 200)
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(settings: &std::path::Path) -> Child {
    Command::new(env!("CARGO_BIN_EXE_runrail"))
        .args(["router", "--settings"])
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log(settings))
        .stderr(Stdio::null())
        .spawn()
        .expect("the binary starts")
}

/// Where a router's log goes: beside its settings, appended over its lives.
fn log(settings: &std::path::Path) -> std::fs::File {
    let path = settings.with_extension("log");
    let mut open = std::fs::OpenOptions::new();
    open.create(true).append(true).open(path).expect("a log")
}

/// The routers' logs, for a failure.
fn logs(dir: &std::path::Path) -> String {
    let read =
        |id: &str| std::fs::read_to_string(dir.join(format!("{id}.log"))).unwrap_or_default();
    format!("r1:\n{}\nr2:\n{}", read("r1"), read("r2"))
}

#[derive(Debug)]
struct Answer {
    status: u16,
    body: String,
    complete: bool,
}

impl Answer {
    /// Ids of the events of a stream, in order.
    fn events(&self) -> Vec<u64> {
        let ids = self.body.lines().filter_map(|l| l.strip_prefix("id: "));
        ids.filter_map(|id| id.trim().parse().ok()).collect()
    }
}

/// One request on a connection of its own.
fn call(addr: SocketAddr, method: &str, path: &str, attempt: &str) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(8))).ok()?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer k1\r\nX-Attempt-Id: {attempt}\r\n\
         X-Model: big\r\nX-Token-Counts: 10,10\r\nX-Deadline-Ms: 6000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut all = Vec::new();
    let ended = stream.read_to_end(&mut all).is_ok();
    let text = String::from_utf8_lossy(&all).to_string();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let chunked = head
        .to_ascii_lowercase()
        .contains("transfer-encoding: chunked");
    let complete = ended && (!chunked || body.ends_with("0\r\n\r\n"));
    Some(Answer {
        status,
        body: body.to_string(),
        complete,
    })
}

fn until(what: &str, most: Duration, mut done: impl FnMut() -> bool) {
    let since = Instant::now();
    while !done() {
        assert!(since.elapsed() < most, "not in time: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// A fleet that serves.
fn fleet(engines: usize, dir: &std::path::Path) -> (Standin, Vec<Router>) {
    let standin = Standin::start(engines, 2);
    let routers: Vec<_> = ["r1", "r2"]
        .map(|id| Router::start(id, standin.store, dir))
        .into();
    until("a group opens", Duration::from_secs(30), || {
        !standin.open_groups().is_empty()
    });
    until("routers are ready", Duration::from_secs(30), || {
        routers.iter().all(Router::is_ready)
    });
    until("a stream is served", Duration::from_secs(30), || {
        served(&routers[0], "first")
    });
    (standin, routers)
}

fn served(router: &Router, attempt: &str) -> bool {
    let answer = call(router.callers, "POST", "/stream/x", attempt);
    answer.is_some_and(|a| a.status == 200 && a.complete && a.events().len() as u64 == EVENTS)
}

#[test]
fn the_whole_path_serves_streams_and_calls_and_a_stop_cuts_nothing() {
    let dir = tempfile::tempdir().expect("a folder");
    let (standin, mut routers) = fleet(5, dir.path());
    let once = call(routers[1].callers, "POST", "/once/x", "only").expect("an answer");
    assert_eq!(once.status, 200, "{once:?}");
    let none = call(routers[0].callers, "GET", "/none/x", "x").expect("an answer");
    assert_eq!(none.status, 404);
    let figures = call(routers[0].ready, "GET", "/metrics", "").expect("figures");
    let counted = "runrail_total_ms_count{account=\"ann\",class=";
    assert!(figures.body.contains(counted), "{}", figures.body);
    assert!(
        figures.body.contains("runrail_groups_open 1"),
        "{}",
        figures.body
    );
    let callers = routers[0].callers;
    let streaming = std::thread::spawn(move || call(callers, "POST", "/stream/x", "last"));
    std::thread::sleep(Duration::from_millis(60));
    let pid = nix::unistd::Pid::from_raw(routers[0].child.id() as i32);
    nix::sys::signal::kill(pid, nix::sys::signal::Signal::SIGTERM).expect("a signal");
    let answer = streaming.join().expect("a thread").expect("an answer");
    assert!(
        answer.complete && answer.events().len() as u64 == EVENTS,
        "{answer:?}"
    );
    until("it ends in order", Duration::from_secs(10), || {
        routers[0]
            .child
            .try_wait()
            .is_ok_and(|s| s.is_some_and(|s| s.success()))
    });
    assert!(standin.world().broken.is_empty());
}

#[test]
fn a_lost_member_is_replaced_and_its_streams_are_whole() {
    let dir = tempfile::tempdir().expect("a folder");
    let (standin, routers) = fleet(5, dir.path());
    for round in 0..2 {
        // The router may hear of the group later than the stand-in shows it.
        until("the router serves", Duration::from_secs(5), || {
            served(&routers[round % 2], "again")
        });
        let group = standin.open_groups().pop().expect("a group");
        let callers = routers[round % 2].callers;
        let streaming = std::thread::spawn(move || call(callers, "POST", "/stream/x", "moved"));
        std::thread::sleep(Duration::from_millis(80));
        // The last member first, then the head.
        let victim = if round == 0 { &group[2] } else { &group[0] };
        standin.kill(victim);
        let answer = streaming.join().expect("a thread").expect("an answer");
        let wanted: Vec<u64> = (1..=EVENTS).collect();
        assert!(answer.complete, "{answer:?}\n{}", logs(dir.path()));
        assert_eq!(answer.events(), wanted, "no event lost, none twice");
        until("the group is back", Duration::from_secs(20), || {
            standin.open_groups().iter().any(|g| !g.contains(victim))
        });
    }
    let broken = standin.world().broken.clone();
    assert!(broken.is_empty(), "{broken:?}");
}

/// Clients that call until they are told to stop; what they saw wrong.
fn clients(
    addrs: Vec<SocketAddr>,
    stop: &Arc<AtomicBool>,
    wrong: &Arc<Mutex<Vec<String>>>,
) -> Vec<std::thread::JoinHandle<u64>> {
    let number = Arc::new(AtomicU64::new(0));
    let client = |kind: &'static str| {
        let (addrs, stop, wrong, number) =
            (addrs.clone(), stop.clone(), wrong.clone(), number.clone());
        std::thread::spawn(move || {
            let mut whole = 0;
            while !stop.load(Ordering::Relaxed) {
                let n = number.fetch_add(1, Ordering::Relaxed);
                let attempt = format!("{kind}{n}");
                let path = format!("/{kind}/x");
                let answer = call(addrs[n as usize % addrs.len()], "POST", &path, &attempt);
                let Some(answer) = answer.filter(|a| a.status == 200 && a.complete) else {
                    std::thread::sleep(Duration::from_millis(20));
                    continue;
                };
                whole += 1;
                let wanted: Vec<u64> = (1..=EVENTS).collect();
                if kind == "stream" && answer.events() != wanted {
                    let told = format!("{attempt}: {:?}", answer.events());
                    wrong.lock().expect("a list").push(told);
                }
            }
            whole
        })
    };
    vec![
        client("stream"),
        client("stream"),
        client("once"),
        client("safe"),
    ]
}

/// Random faults from a seed; what must hold is checked throughout.
fn soak(seed: u64, faults: u32) {
    let dir = tempfile::tempdir().expect("a folder");
    let (standin, mut routers) = fleet(6, dir.path());
    let (stop, wrong) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(Mutex::new(Vec::new())),
    );
    let addrs: Vec<_> = routers.iter().map(|r| r.callers).collect();
    let clients = clients(addrs, &stop, &wrong);
    let mut rng = fastrand::Rng::with_seed(seed);
    for n in 0..faults {
        match rng.u32(0..5) {
            0 => routers[rng.usize(0..2)].restart(),
            1 | 2 => {
                let group = standin.open_groups().pop().unwrap_or_default();
                if let Some(victim) = rng.choice(&group) {
                    standin.kill(victim);
                    standin.add(&format!("n{seed}-{n}"), "pool");
                }
            }
            3 => {
                standin.world().store_down = true;
                std::thread::sleep(Duration::from_millis(rng.u64(200..900)));
                standin.world().store_down = false;
            }
            _ => {
                let text = config(u64::from(n) + 2);
                standin.world().configure(&text);
            }
        }
        std::thread::sleep(Duration::from_millis(rng.u64(100..900)));
    }
    until(
        "it serves again after the last fault",
        Duration::from_secs(30),
        || {
            routers
                .iter()
                .all(|r| served(r, &format!("after-{}", r.id)))
        },
    );
    stop.store(true, Ordering::Relaxed);
    let whole: u64 = clients
        .into_iter()
        .map(|c| c.join().expect("a client"))
        .sum();
    let world = standin.world();
    let twice: Vec<_> = world.once.iter().filter(|(_, n)| **n > 1).collect();
    assert!(twice.is_empty(), "seed {seed}: run twice: {twice:?}");
    assert!(world.broken.is_empty(), "seed {seed}: {:?}", world.broken);
    let wrong = wrong.lock().expect("a list");
    assert!(wrong.is_empty(), "seed {seed}: {wrong:?}");
    assert!(whole > 0, "seed {seed}: nothing was served");
}

#[test]
fn random_faults_break_no_promise() {
    soak(1, 8);
}

/// Longer, with seeds of its own: `SOAK=40 cargo test --test direct soak -- --ignored`.
#[test]
#[ignore = "a soak of minutes; SOAK names how many seeds"]
fn random_faults_break_no_promise_for_many_seeds() {
    let seeds = std::env::var("SOAK").ok().and_then(|n| n.parse().ok());
    for seed in 100..100 + seeds.unwrap_or(10) {
        soak(seed, 12);
        println!("seed {seed} held");
    }
}
