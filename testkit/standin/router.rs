use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;

use super::call::call;
use crate::free_addr;

/// A router as a real process; killed when it is dropped.
pub struct Router {
    /// The process.
    pub child: Child,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where the balancer asks, and figures are told.
    pub ready: SocketAddr,
    /// Its instance.
    pub id: String,
    settings: PathBuf,
}

impl Router {
    /// Starts one with settings and a log in a folder.
    ///
    /// # Panics
    /// When it can't be started.
    pub fn start(id: &str, store: SocketAddr, dir: &Path) -> Self {
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
            id,
            settings,
        }
    }

    /// Ends it without warning.
    pub fn kill(&mut self) {
        // A process that has ended is as good as killed.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Kills it and starts it anew with the same settings.
    pub fn restart(&mut self) {
        self.kill();
        self.child = spawn(&self.settings);
    }

    /// Sends it a signal.
    ///
    /// # Panics
    /// When it has ended.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        kill(pid, signal).expect("a signal");
    }

    /// Its figures as text; empty where it doesn't answer.
    pub fn figures(&self) -> String {
        figures_at(self.ready)
    }

    /// Version of the routing in force; none before the first.
    pub fn routing(&self) -> Option<u64> {
        routing_at(self.ready)
    }

    /// Whether it takes callers.
    pub fn is_ready(&self) -> bool {
        call(self.ready, "GET", "/runrail/ready", "").is_some_and(|a| a.status == 200)
    }
}

fn figures_at(ready: SocketAddr) -> String {
    let answer = call(ready, "GET", "/metrics", "");
    answer.map(|a| a.body).unwrap_or_default()
}

/// Version of the routing in force at a router that tells its figures at an address.
pub fn routing_at(ready: SocketAddr) -> Option<u64> {
    let figures = figures_at(ready);
    let mut lines = figures.lines();
    let version = lines.find_map(|l| l.strip_prefix("runrail_routing_version "))?;
    version.trim().parse().ok().filter(|version| *version > 0)
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The program under test, which the build puts beside the one that runs.
fn binary() -> PathBuf {
    let here = std::env::current_exe().expect("a program has a path");
    let dirs = here.ancestors().skip(1).take(2);
    let mut found = dirs.map(|dir| dir.join("runrail"));
    found
        .find(|path| path.is_file())
        .expect("runrail is built: cargo build")
}

fn spawn(settings: &Path) -> Child {
    Command::new(binary())
        .args(["router", "--settings"])
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log(settings))
        .stderr(Stdio::null())
        .spawn()
        .expect("the binary starts")
}

/// Where a router's log goes: beside its settings, appended over its lives.
fn log(settings: &Path) -> std::fs::File {
    let path = settings.with_extension("log");
    let mut open = std::fs::OpenOptions::new();
    open.create(true).append(true).open(path).expect("a log")
}
