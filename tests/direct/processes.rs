//! Routers as real processes against the stand-in, and calls to them.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use testkit::free_addr;

use crate::standin::{Standin, EVENTS};

/// A router as a real process; killed when it is dropped.
pub struct Router {
    pub child: Child,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    pub id: String,
}

impl Router {
    pub fn start(id: &str, store: SocketAddr, dir: &std::path::Path) -> Self {
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

    pub fn kill(&mut self) {
        // A process that has ended is as good as killed.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn restart(&mut self) {
        self.kill();
        self.child = spawn(&self.settings);
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: nix::sys::signal::Signal) {
        let pid = nix::unistd::Pid::from_raw(self.child.id() as i32);
        nix::sys::signal::kill(pid, signal).expect("a signal");
    }

    /// Its figures as text; empty where it doesn't answer.
    pub fn figures(&self) -> String {
        let answer = call(self.ready, "GET", "/metrics", "");
        answer.map(|a| a.body).unwrap_or_default()
    }

    /// Version of the routing in force; none before the first.
    pub fn routing(&self) -> Option<u64> {
        let figures = self.figures();
        let mut lines = figures.lines();
        let version = lines.find_map(|l| l.strip_prefix("runrail_routing_version "))?;
        version.trim().parse().ok()
    }

    pub fn is_ready(&self) -> bool {
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
pub fn logs(dir: &std::path::Path) -> String {
    let read =
        |id: &str| std::fs::read_to_string(dir.join(format!("{id}.log"))).unwrap_or_default();
    format!("r1:\n{}\nr2:\n{}", read("r1"), read("r2"))
}

#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub body: String,
    pub complete: bool,
}

impl Answer {
    /// Ids of the events of a stream, in order.
    pub fn events(&self) -> Vec<u64> {
        let ids = self.body.lines().filter_map(|l| l.strip_prefix("id: "));
        ids.filter_map(|id| id.trim().parse().ok()).collect()
    }
}

/// One request without a body, on a connection of its own.
pub fn call(addr: SocketAddr, method: &str, path: &str, attempt: &str) -> Option<Answer> {
    send(addr, method, path, attempt, "")
}

/// One request on a connection of its own.
pub fn send(
    addr: SocketAddr,
    method: &str,
    path: &str,
    attempt: &str,
    body: &str,
) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(8))).ok()?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer k1\r\nX-Attempt-Id: {attempt}\r\n\
         X-Model: big\r\nX-Token-Counts: 10,10\r\nX-Deadline-Ms: 6000\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
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

pub fn until(what: &str, most: Duration, mut done: impl FnMut() -> bool) {
    let since = Instant::now();
    while !done() {
        assert!(since.elapsed() < most, "not in time: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// A fleet that serves.
pub fn fleet(engines: usize, dir: &std::path::Path) -> (Standin, Vec<Router>) {
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

pub fn served(router: &Router, attempt: &str) -> bool {
    let answer = call(router.callers, "POST", "/stream/x", attempt);
    answer.is_some_and(|a| a.status == 200 && a.complete && a.events().len() as u64 == EVENTS)
}
