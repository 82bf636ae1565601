use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;

use super::spawn;

/// One process of the system under test; killed when it is dropped.
pub struct Process {
    /// Instance id.
    pub id: String,
    /// Address for other processes.
    pub peers: SocketAddr,
    /// Address for callers, where it has one.
    pub callers: Option<SocketAddr>,
    /// Address for operators, where it has one.
    pub operators: Option<SocketAddr>,
    child: Child,
}

impl Process {
    /// Starts the binary in a role and waits until it reports its addresses. It may have at most
    /// `descriptors` files and sockets open, if a number is given.
    ///
    /// # Panics
    /// When it can't be started or ends before it reports its addresses.
    pub fn start(
        binary: &str,
        role: &str,
        id: &str,
        settings: &Path,
        log: &Path,
        descriptors: Option<usize>,
    ) -> Self {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)
            .expect("a log file");
        let mut command = limited_command(binary, descriptors);
        command
            .args([role, "--settings"])
            .arg(settings)
            .env(
                "RUST_LOG",
                "debug,tungstenite=warn,ureq=warn,tokio_tungstenite=warn",
            )
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log.try_clone().expect("a second handle"));
        let mut child = spawn(&mut command).expect("the binary starts");
        let stdout = child.stdout.take().expect("stdout is piped");
        let line = copy_output(stdout, log);
        let addr = |name: &str| {
            let part = line.split_whitespace().find_map(|p| p.strip_prefix(name));
            part.and_then(|a| a.parse().ok())
        };
        let peers = addr("peers=").unwrap_or_else(|| panic!("{id} isn't ready: {line:?}"));
        Self {
            id: id.to_string(),
            peers,
            callers: addr("callers="),
            operators: addr("operators="),
            child,
        }
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        // An error means that the process has ended already.
        let _ = kill(pid, signal);
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Suspends it (`SIGSTOP`).
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets it run on after a pause (`SIGCONT`).
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Asks it to shut down (`SIGTERM`).
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Whether it ended with success; `None` while it runs.
    pub fn ended(&mut self) -> Option<bool> {
        let status = self.child.try_wait().ok().flatten();
        status.map(|s| s.success())
    }
}

/// A command that runs a program which may have at most so many files and sockets open.
pub fn limited_command(program: &str, descriptors: Option<usize>) -> Command {
    let Some(limit) = descriptors else {
        return Command::new(program);
    };
    let mut command = Command::new("sh");
    let script = format!("ulimit -n {limit} && exec \"$0\" \"$@\"");
    command.args(["-c", &script, program]);
    command
}

/// Copies the output of a process to its log in the background; returns its first line that begins
/// with `ready`, or an empty text when it ends before.
fn copy_output(stdout: impl Read + Send + 'static, mut log: File) -> String {
    let (ready, line) = channel();
    std::thread::spawn(move || {
        for line in BufReader::new(stdout).lines().map_while(Result::ok) {
            if line.starts_with("ready ") {
                // Only the first line is received; sending a later one fails.
                let _ = ready.send(line.clone());
            }
            let _ = writeln!(log, "{line}");
        }
    });
    line.recv().unwrap_or_default()
}

impl Drop for Process {
    fn drop(&mut self) {
        self.resume();
        self.kill();
    }
}

/// Largest memory that a process has used so far, in KiB.
///
/// # Panics
/// When the process has ended.
pub fn peak_memory_kib(pid: u32) -> u64 {
    let path = format!("/proc/{pid}/status");
    let status = std::fs::read_to_string(path).expect("the process runs");
    let mut lines = status.lines();
    let line = lines.find_map(|l| l.strip_prefix("VmHWM:"));
    let kib = line.and_then(|l| l.trim().strip_suffix(" kB"));
    kib.and_then(|n| n.parse().ok())
        .expect("the process has ended")
}

/// Number of files and sockets that a process has open.
///
/// # Panics
/// When the process has ended.
pub fn open_descriptors(pid: u32) -> usize {
    let path = format!("/proc/{pid}/fd");
    std::fs::read_dir(path).expect("the process runs").count()
}

/// Time that a process has used the processor, in ticks of the system (usually 10 ms).
///
/// # Panics
/// When the process has ended.
pub fn processor_ticks(pid: u32) -> u64 {
    let path = format!("/proc/{pid}/stat");
    let stat = std::fs::read_to_string(path).expect("the process runs");
    // The name of the program, in brackets, may have spaces.
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks = |n: usize| fields.split_whitespace().nth(n)?.parse::<u64>().ok();
    ticks(11).zip(ticks(12)).map_or(0, |(user, sys)| user + sys)
}

/// Waits until a condition holds; false when it doesn't hold within `limit`.
pub fn until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while start.elapsed() < limit {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    holds()
}
