//! Checks of a process beside a crowd.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use testkit::{open_descriptors, peak_memory_kib, processor_ticks, Crowd, CrowdClient};

/// Memory of the smallest machine that a process runs on.
pub const MAX_MEMORY_KIB: u64 = 128 * 1024;

/// Interval at which the use of the processor is looked at, and the ticks in it of a process that is idle.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);
const IDLE_TICKS: u64 = 10;

/// Time limit for handling what a crowd has sent.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

static ALONE: Mutex<()> = Mutex::new(());

/// Keeps the other tests of this program waiting: memory is measured while only one crowd sends.
pub fn alone() -> MutexGuard<'static, ()> {
    // Another test has failed; its state isn't shared.
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A process and what it may use.
#[derive(Clone, Copy)]
pub struct Bounds {
    /// Process id.
    pub pid: u32,
    /// Most files and sockets that it may have open.
    pub descriptors: usize,
}

/// Lets a crowd send and stay; `answer` has to succeed beside it, within the bounds of the process.
pub fn check_beside(
    what: &str,
    addr: SocketAddr,
    clients: Vec<CrowdClient>,
    bounds: Bounds,
    answer: impl FnOnce(),
) {
    let crowd = Crowd::start(addr, clients, false);
    crowd.wait_sent();
    wait_idle(bounds.pid);
    check_bounds(what, bounds);
    answer();
    check_bounds(what, bounds);
    println!("{what}: {} KiB sent", crowd.sent() / 1024);
}

/// Waits until a process has handled what was sent, as the system takes bytes that it hasn't read yet.
pub fn wait_idle(pid: u32) {
    let begin = Instant::now();
    let mut last = processor_ticks(pid);
    while begin.elapsed() < IDLE_TIMEOUT {
        std::thread::sleep(IDLE_INTERVAL);
        let now = processor_ticks(pid);
        if now - last <= IDLE_TICKS {
            return;
        }
        last = now;
    }
    panic!("the process is still busy after {IDLE_TIMEOUT:?}");
}

/// Checks that a process lives, its peak of memory and its open descriptors.
pub fn check_bounds(what: &str, bounds: Bounds) {
    let open = open_descriptors(bounds.pid);
    let peak = peak_memory_kib(bounds.pid);
    println!("{what}: peak {peak} KiB, {open} descriptors");
    assert!(peak <= MAX_MEMORY_KIB, "{what}: {peak} KiB");
    assert!(open < bounds.descriptors, "{what}: {open} descriptors");
}
