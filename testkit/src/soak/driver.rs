//! Carries faults out, each on a thread of its own.

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;

use super::client::Connection;
use super::{Fault, Limited, Outcome, Record, Sample, Span};
use crate::direct::{config, Copy, Router, Standin, FATAL};
use crate::Relay;

/// Longest time from the order to stop until a router has ended.
const STOP: Duration = Duration::from_secs(6);

/// Longest time until a router that was started takes callers.
const READY: Duration = Duration::from_secs(10);

/// Pause between two looks at something that is waited for.
const LOOK: Duration = Duration::from_millis(40);

/// Pause between two sends of the fatal request.
const FATAL_PAUSE: Duration = Duration::from_millis(150);

/// Engines that are added after the fatal request has come.
const ADDED: usize = 3;

/// Values of another writer.
const FOREIGN: [&str; 4] = ["", "7", "{\"Service\":[]}", "\u{1}\u{2}"];

/// Writes of others that follow a restore, by the fault's number, and their most: its count
/// of revisions may pass where it was.
const LATER_WRITES: usize = 37;
const MOST_WRITES: usize = 200;

/// A router and how often it has started.
pub(super) struct Slot {
    pub router: Router,
    pub life: u32,
}

/// The fleet, and what was seen of it.
pub(super) struct Driver {
    pub begin: Instant,
    pub standin: Standin,
    pub slots: Vec<Mutex<Slot>>,
    pub relays: Vec<Relay>,
    pub record: Mutex<Record>,
    /// Version of the newest configuration.
    pub version: Mutex<u64>,
    /// What the store may come back to.
    pub copy: Mutex<Option<Copy>>,
}

/// A lock whose holder has panicked holds what it held.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

impl Driver {
    /// Milliseconds since the beginning.
    pub fn now(&self) -> u64 {
        self.begin.elapsed().as_millis() as u64
    }

    /// Carries a fault out; `n` is its number in the plan.
    pub fn carry_out(&self, n: usize, fault: &Fault) {
        match fault {
            Fault::KillRouter(at) => self.kill_router(*at),
            Fault::StopRouter(at) => self.stop_router(*at),
            Fault::FreezeRouter(at, ms) => self.freeze_router(*at, *ms),
            Fault::CutStore(at, ms) => {
                let relay = &self.relays[*at];
                self.store_trouble(*at, *ms, |on| relay.set_cut(on));
            }
            Fault::SlowStore(at, ms) => {
                let (relay, delay) = (&self.relays[*at], Duration::from_millis(ms / 8));
                let delays = |on| if on { delay } else { Duration::ZERO };
                self.store_trouble(*at, *ms, |on| relay.set_delay(delays(on)));
            }
            Fault::SilentStore(at, ms) => {
                let relay = &self.relays[*at];
                self.store_trouble(*at, *ms, |on| relay.set_silent(on));
            }
            Fault::StoreDown(ms) => self.store_down(n, *ms, None),
            Fault::StoreRestored(ms) => {
                let copy = lock(&self.copy).take();
                self.store_down(n, *ms, copy);
            }
            Fault::ReplaceMember => self.replace_member(n),
            Fault::RestartEndpoint => self.restart_endpoint(n),
            Fault::ForeignEntry => self.foreign_entry(n),
            Fault::Configure => {
                let mut version = lock(&self.version);
                *version += 1;
                self.standin.world().configure(&config(*version));
            }
            Fault::FatalRequest(times) => self.fatal_request(n, *times),
            Fault::LimitEndpoint(rate, ms) => self.limit_endpoint(n, f64::from(*rate), *ms),
        }
    }

    /// Remembers a fault of a router that began at a time and ends now.
    fn router_fault(&self, at: usize, from_ms: u64) -> Span {
        let to_ms = self.now();
        let span = Span { from_ms, to_ms };
        lock(&self.record).router_faults.push((at, span));
        span
    }

    fn endpoint_fault(&self, from_ms: u64) {
        let to_ms = self.now();
        let span = Span { from_ms, to_ms };
        lock(&self.record).endpoint_faults.push(span);
    }

    fn kill_router(&self, at: usize) {
        let from = self.now();
        self.start_anew(at);
        self.router_fault(at, from);
    }

    /// Starts a router anew and waits until it takes callers.
    fn start_anew(&self, at: usize) {
        let life = {
            let mut slot = lock(&self.slots[at]);
            slot.router.restart();
            slot.life += 1;
            slot.life
        };
        self.wait(READY, || {
            let slot = lock(&self.slots[at]);
            slot.life != life || slot.router.is_ready()
        });
    }

    /// Waits until something holds; false where it doesn't in time.
    fn wait(&self, most: Duration, mut done: impl FnMut() -> bool) -> bool {
        let since = Instant::now();
        while !done() {
            if since.elapsed() > most {
                return false;
            }
            std::thread::sleep(LOOK);
        }
        true
    }

    fn stop_router(&self, at: usize) {
        let from = self.now();
        let life = {
            let slot = lock(&self.slots[at]);
            slot.router.signal(Signal::SIGTERM);
            slot.life
        };
        let in_order = self.wait(STOP, || {
            let mut slot = lock(&self.slots[at]);
            slot.life != life || matches!(slot.router.child.try_wait(), Ok(Some(_)))
        });
        let ended = self.now();
        if lock(&self.slots[at]).life != life {
            return;
        }
        if in_order {
            let span = Span {
                from_ms: from,
                to_ms: ended,
            };
            let mut record = lock(&self.record);
            record.stops.push((at, span));
            record.router_faults.push((at, span));
        }
        self.start_anew(at);
        self.router_fault(at, ended + 1);
    }

    fn freeze_router(&self, at: usize, ms: u64) {
        let from = self.now();
        self.signal(at, Signal::SIGSTOP);
        std::thread::sleep(Duration::from_millis(ms));
        self.signal(at, Signal::SIGCONT);
        self.router_fault(at, from);
    }

    /// Signals a router unless it has ended.
    fn signal(&self, at: usize, signal: Signal) {
        let mut slot = lock(&self.slots[at]);
        if matches!(slot.router.child.try_wait(), Ok(None)) {
            slot.router.signal(signal);
        }
    }

    fn store_trouble(&self, at: usize, ms: u64, set: impl Fn(bool)) {
        let from = self.now();
        set(true);
        std::thread::sleep(Duration::from_millis(ms));
        set(false);
        self.router_fault(at, from);
    }

    /// The store is away, and may come back from a copy; operators then write theirs again.
    fn store_down(&self, n: usize, ms: u64, copy: Option<Copy>) {
        let from = self.now();
        self.standin.world().store_down = true;
        std::thread::sleep(Duration::from_millis(ms));
        let restored = copy.is_some();
        {
            let mut world = self.standin.world();
            if let Some(copy) = copy {
                world.restore(copy);
                world.write_unrelated(n * LATER_WRITES % MOST_WRITES);
            }
            world.store_down = false;
        }
        if restored {
            std::thread::sleep(Duration::from_millis(ms / 2));
            let version = lock(&self.version);
            self.standin.world().configure(&config(*version));
        }
        for at in 0..self.slots.len() {
            self.router_fault(at, from);
        }
    }

    /// An entry of another writer, under an id of its own or that of an endpoint.
    fn foreign_entry(&self, n: usize) {
        let alive = self.standin.alive();
        let own = alive.get(n % alive.len().max(1)).filter(|_| n & 1 == 0);
        let id = own.cloned().unwrap_or_else(|| format!("foreign-{n}"));
        let value = FOREIGN[n % FOREIGN.len()];
        let mut world = self.standin.world();
        world.configure_key(&format!("servers/{id}"), value);
    }

    fn replace_member(&self, n: usize) {
        let from = self.now();
        let group = self.standin.open_groups().pop().unwrap_or_default();
        if let Some(victim) = group.get(n % group.len().max(1)) {
            self.standin.kill(victim);
            self.standin.add(&format!("n{n}"), "pool");
        }
        self.endpoint_fault(from);
    }

    fn restart_endpoint(&self, n: usize) {
        let from = self.now();
        let alive = self.standin.alive();
        if let Some(id) = alive.get(n % alive.len().max(1)) {
            self.standin.restart(id);
        }
        self.endpoint_fault(from);
    }

    fn fatal_request(&self, n: usize, times: u32) {
        let from = self.now();
        for time in 0..times {
            let at = time as usize % self.slots.len();
            let addr = lock(&self.slots[at]).router.callers;
            let attempt = format!("fatal{n}-{time}");
            if let Some(mut connection) = Connection::open(addr) {
                self.ask(&mut connection, at, "fatal", attempt, FATAL);
            }
            std::thread::sleep(FATAL_PAUSE);
        }
        for added in 0..ADDED {
            self.standin.add(&format!("f{n}-{added}"), "pool");
        }
        self.endpoint_fault(from);
    }

    /// Sends a request on a connection and records how it ended.
    pub fn ask(
        &self,
        connection: &mut Connection,
        router: usize,
        kind: &'static str,
        attempt: String,
        body: &str,
    ) -> Outcome {
        let at_ms = self.now();
        let outcome = connection.ask(kind, &attempt, body);
        let sample = Sample {
            attempt,
            kind,
            router,
            at_ms,
            took_ms: self.now() - at_ms,
            outcome,
        };
        lock(&self.record).samples.push(sample);
        outcome
    }

    fn limit_endpoint(&self, n: usize, rate: f64, ms: u64) {
        let id = format!("p{}", n % 2);
        let (from_ms, since) = (self.now(), Instant::now());
        if self.standin.world().has_limit(&id) {
            return;
        }
        self.standin.world().limit(&id, Some(rate));
        std::thread::sleep(Duration::from_millis(ms));
        self.standin.world().limit(&id, None);
        let arrivals = self.standin.world().arrivals(&id, since);
        let after = |at: &Instant| at.duration_since(self.begin).as_millis() as u64;
        let limited = Limited {
            rate,
            span: Span {
                from_ms,
                to_ms: self.now(),
            },
            arrivals_ms: arrivals.iter().map(after).collect(),
        };
        lock(&self.record).limited.push(limited);
    }
}
