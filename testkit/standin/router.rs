use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Stdio};

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;

use super::call::call;
use crate::{free_addr, limited_command, spawn};

/// A router as a real process; killed when it is dropped.
pub struct Router {
    /// The process.
    pub child: Child,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the readiness check and the metrics page.
    pub ready: SocketAddr,
    /// Address for other routers.
    pub peers: SocketAddr,
    /// Instance id.
    pub id: String,
    settings: PathBuf,
    descriptors: Option<usize>,
}

impl Router {
    /// Starts a router whose settings and log are files in `dir`.
    ///
    /// # Panics
    /// When the settings can't be written or the process can't be started.
    pub fn start(id: &str, store: SocketAddr, dir: &Path) -> Self {
        Self::start_with(id, store, dir, "")
    }

    /// The same with further settings.
    ///
    /// # Panics
    /// When the settings can't be written or the process can't be started.
    pub fn start_with(id: &str, store: SocketAddr, dir: &Path, further: &str) -> Self {
        Self::start_limited(id, store, dir, further, None)
    }

    /// The same as a process that may have at most so many files and sockets open.
    ///
    /// # Panics
    /// When the settings can't be written or the process can't be started.
    pub fn start_limited(
        id: &str,
        store: SocketAddr,
        dir: &Path,
        further: &str,
        descriptors: Option<usize>,
    ) -> Self {
        let (callers, ready, peers) = (free_addr(), free_addr(), free_addr());
        let settings = dir.join(format!("{id}.ini"));
        let text = format!(
            "[instance]\nid = {id}\nhall = h1\n[listen]\ncallers = {callers}\nready = {ready}\npeers = {peers}\n\
             [direct]\nstore = {store}\nfirst_start = true\n[stop]\ngrace_s = 4\n{further}"
        );
        std::fs::write(&settings, text).expect("settings");
        let child = start_process(&settings, descriptors);
        let id = id.to_string();
        Self {
            child,
            callers,
            ready,
            peers,
            id,
            settings,
            descriptors,
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        // An error means that the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Kills the process and starts it again with the same settings.
    pub fn restart(&mut self) {
        self.kill();
        self.child = start_process(&self.settings, self.descriptors);
    }

    /// Sends the process a signal.
    ///
    /// # Panics
    /// When the process has ended and was waited for.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        kill(pid, signal).expect("a signal");
    }

    /// Text of its metrics page; empty when it doesn't answer.
    pub fn metrics(&self) -> String {
        metrics_at(self.ready)
    }

    /// Version of the routing in force; `None` when no version is in force or it doesn't answer.
    pub fn routing(&self) -> Option<u64> {
        routing_version_at(self.ready)
    }

    /// Whether it reports that it is ready for callers.
    pub fn is_ready(&self) -> bool {
        call(self.ready, "GET", "/runrail/ready", "").is_some_and(|a| a.status == 200)
    }
}

fn metrics_at(ready: SocketAddr) -> String {
    let answer = call(ready, "GET", "/metrics", "");
    answer.map(|a| a.body).unwrap_or_default()
}

/// Version of the routing in force at the router whose metrics page is at `ready`; `None` when no
/// version is in force or it doesn't answer.
pub fn routing_version_at(ready: SocketAddr) -> Option<u64> {
    let metrics = metrics_at(ready);
    let mut lines = metrics.lines();
    let version = lines.find_map(|l| l.strip_prefix("runrail_routing_version "))?;
    version.trim().parse().ok().filter(|version| *version > 0)
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Path of the `runrail` binary: in the directory of the running program or in the parent of that.
fn binary() -> PathBuf {
    let program = std::env::current_exe().expect("a program has a path");
    let dirs = program.ancestors().skip(1).take(2);
    let mut found = dirs.map(|dir| dir.join("runrail"));
    found
        .find(|path| path.is_file())
        .expect("runrail is built: cargo build")
}

fn start_process(settings: &Path, descriptors: Option<usize>) -> Child {
    let mut command = limited_command(&binary().display().to_string(), descriptors);
    command
        .args(["router", "--settings"])
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log_file(settings))
        .stderr(log_file(settings));
    spawn(&mut command).expect("the binary starts")
}

/// Opens a router's log file, beside its settings; every process of the router appends to it.
fn log_file(settings: &Path) -> std::fs::File {
    let path = settings.with_extension("log");
    let mut open = std::fs::OpenOptions::new();
    open.create(true).append(true).open(path).expect("a log")
}
