//! Injects faults into the fleet; the caller runs each one on a thread of its own.

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;

use super::client::Connection;
use super::{Fault, Limited, Outcome, Record, Sample, Span};
use crate::direct::{config, Backup, Cut, OddEntry, Router, Standin, World, EVENTS, FATAL};
use crate::Relay;

/// Time limit from `SIGTERM` to the end of a router's process.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(6);

/// Time limit for a restarted router to get ready for callers.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Time between two checks of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Pause between two sends of fatal requests.
const FATAL_PAUSE: Duration = Duration::from_millis(150);

/// Sound requests that are sent after the last one with the fatal segment.
const BESIDE_AFTER: u32 = 20;

/// Time by which the store carries out writes late.
const WRITE_DELAY: Duration = Duration::from_secs(1);

/// Time between two moments at which an endpoint that repeats refusals is full.
const REFUSAL_INTERVAL: Duration = Duration::from_millis(100);

/// Callers of a flood: twice as many as the heads of three groups take at a time.
const FLOOD_CALLERS: usize = 48;

/// Pause of such a caller after an answer.
const FLOOD_PAUSE: Duration = Duration::from_millis(20);

/// Engines that are added after the sends of fatal requests, as they crash engines.
const ADDED_ENGINES: usize = 3;

/// Each fault writes one in so many kinds of odd entries.
const FOREIGN_PARTS: usize = 4;

/// Unrelated writes follow a restore: the fault's number times `WRITES_FACTOR`, modulo
/// `MAX_WRITES`. With enough of them the revision passes the one that it had before the restore.
const WRITES_FACTOR: usize = 37;
const MAX_WRITES: usize = 200;

/// A router and how often it was restarted.
pub(super) struct RouterSlot {
    pub router: Router,
    pub restarts: u32,
}

/// The fleet under test and the record of the soak.
pub(super) struct Driver {
    pub begin: Instant,
    pub standin: Standin,
    pub slots: Vec<Mutex<RouterSlot>>,
    pub relays: Vec<Relay>,
    pub record: Mutex<Record>,
    /// Version of the newest configuration.
    pub version: Mutex<u64>,
    /// Router that callers open new connections to, if it is a single one.
    pub preferred: Mutex<Option<usize>>,
    /// Backup for the next restore of the store.
    pub backup: Mutex<Option<Backup>>,
}

/// Locks a mutex, also where a thread has panicked while it held the lock.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

impl Driver {
    /// Milliseconds since the beginning.
    pub fn now_ms(&self) -> u64 {
        self.begin.elapsed().as_millis() as u64
    }

    /// Injects a fault and waits until it is over; `n` is its number in the plan.
    pub fn inject(&self, n: usize, fault: &Fault) {
        match fault {
            Fault::KillRouter(at) => self.kill_router(*at),
            Fault::StopRouter(at) => self.stop_router(*at),
            Fault::FreezeRouter(at, ms) => self.freeze_router(*at, *ms),
            Fault::CutStore(at, ms) => {
                let relay = &self.relays[*at];
                self.disturb_store(*at, *ms, |on| relay.set_cut(on));
            }
            Fault::SlowStore(at, ms) => {
                let (relay, delay) = (&self.relays[*at], Duration::from_millis(ms / 8));
                let delays = |on| if on { delay } else { Duration::ZERO };
                self.disturb_store(*at, *ms, |on| relay.set_delay(delays(on)));
            }
            Fault::SilentStore(at, ms) => {
                let relay = &self.relays[*at];
                self.disturb_store(*at, *ms, |on| relay.set_silent(on));
            }
            Fault::StoreDown(ms) => self.store_down(n, *ms, None),
            Fault::StoreRestored(ms) => {
                let backup = lock(&self.backup).take();
                self.store_down(n, *ms, backup);
            }
            Fault::OneWayStore(at, ms) => {
                let relay = &self.relays[*at];
                self.disturb_store(*at, *ms, |on| relay.set_one_way(on));
            }
            Fault::LostAnswers(ms) => {
                self.disturb_writes(*ms, |world, on| world.loses_answers = on);
            }
            Fault::LateWrites(ms) => {
                let delay = |on| if on { Some(WRITE_DELAY) } else { None };
                self.disturb_writes(*ms, |world, on| world.write_delay = delay(on));
            }
            Fault::ForgetHistory => {
                let from = self.now_ms();
                self.standin.world().forget_history();
                self.record_store_fault(from);
            }
            Fault::Reload(at) => self.signal(*at, Signal::SIGHUP),
            Fault::ReplaceMember => self.replace_member(n),
            Fault::RestartEndpoint => self.restart_endpoint(n),
            Fault::ForeignEntry => self.write_foreign_entry(n),
            Fault::Configure => {
                let mut version = lock(&self.version);
                *version += 1;
                self.standin.world().configure(&config(*version));
                let written = (self.now_ms(), *version);
                lock(&self.record).configured.push(written);
            }
            Fault::FatalRequest(times) => self.fatal_request(n, *times),
            Fault::FatalSegment(times) => self.fatal_segment(n, *times),
            Fault::CrashWave(percent) => self.crash_wave(n, *percent),
            Fault::ResetEngines(count, ms) => self.reset_engines(n, *count, *ms),
            Fault::Unframed(ms) => self.answer_unframed(n, *ms),
            Fault::Concentrate(at, ms) => self.concentrate(*at, *ms),
            Fault::LimitEndpoint(rate, ms) => self.limit_endpoint(n, f64::from(*rate), *ms),
            Fault::HoldOff(hold_ms, ms) => self.hold_off_endpoint(n, *hold_ms, *ms),
            Fault::Leave(ms) => self.leave_endpoint(n, *ms),
            Fault::Flood(ms) => self.flood(n, *ms),
            Fault::CutHead(ms) => self.cut_head(n, *ms),
            Fault::RepeatRefusals(ms) => self.repeat_refusals(n, *ms),
            Fault::FreezeEngines(count, ms) => self.freeze_engines(n, *count, *ms),
            Fault::LateRenewals(delay_ms, ms) => self.delay_renewals(n, *delay_ms, *ms),
        }
    }

    /// Records a fault of a router that began at `from_ms` and ends now.
    fn record_router_fault(&self, at: usize, from_ms: u64) -> Span {
        let to_ms = self.now_ms();
        let span = Span { from_ms, to_ms };
        lock(&self.record).router_faults.push((at, span));
        span
    }

    /// Records a restart or freeze of a router that began at `from_ms` and ends now.
    fn record_interruption(&self, at: usize, from_ms: u64) {
        let span = self.record_router_fault(at, from_ms);
        lock(&self.record).interruptions.push((at, span));
    }

    /// Records a fault of endpoints that began at `from_ms` and ends now.
    fn record_endpoint_fault(&self, from_ms: u64) {
        let to_ms = self.now_ms();
        let span = Span { from_ms, to_ms };
        lock(&self.record).endpoint_faults.push(span);
    }

    fn kill_router(&self, at: usize) {
        let from = self.now_ms();
        self.restart(at);
        self.record_interruption(at, from);
    }

    /// Restarts a router and waits until it is ready for callers, or was restarted again.
    fn restart(&self, at: usize) {
        let restarts = {
            let mut slot = lock(&self.slots[at]);
            slot.router.restart();
            slot.restarts += 1;
            slot.restarts
        };
        self.wait_until(READY_TIMEOUT, || {
            let slot = lock(&self.slots[at]);
            slot.restarts != restarts || slot.router.is_ready()
        });
    }

    /// Waits until a condition holds; false where it doesn't hold within `limit`.
    fn wait_until(&self, limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
        let start = Instant::now();
        while !holds() {
            if start.elapsed() > limit {
                return false;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        true
    }

    fn stop_router(&self, at: usize) {
        let from = self.now_ms();
        let restarts = {
            let slot = lock(&self.slots[at]);
            slot.router.signal(Signal::SIGTERM);
            slot.restarts
        };
        let has_ended = self.wait_until(SHUTDOWN_TIMEOUT, || {
            let mut slot = lock(&self.slots[at]);
            slot.restarts != restarts || matches!(slot.router.child.try_wait(), Ok(Some(_)))
        });
        let ended = self.now_ms();
        if lock(&self.slots[at]).restarts != restarts {
            return;
        }
        if has_ended {
            let span = Span {
                from_ms: from,
                to_ms: ended,
            };
            let mut record = lock(&self.record);
            record.shutdowns.push((at, span));
            record.router_faults.push((at, span));
        }
        self.restart(at);
        self.record_interruption(at, ended + 1);
    }

    fn freeze_router(&self, at: usize, ms: u64) {
        let from = self.now_ms();
        self.signal(at, Signal::SIGSTOP);
        std::thread::sleep(Duration::from_millis(ms));
        self.signal(at, Signal::SIGCONT);
        self.record_interruption(at, from);
    }

    /// Signals a router unless it has ended.
    fn signal(&self, at: usize, signal: Signal) {
        let mut slot = lock(&self.slots[at]);
        if matches!(slot.router.child.try_wait(), Ok(None)) {
            slot.router.signal(signal);
        }
    }

    /// Disturbs the connection of a router to the store for `ms` milliseconds.
    fn disturb_store(&self, at: usize, ms: u64, set: impl Fn(bool)) {
        let from = self.now_ms();
        set(true);
        std::thread::sleep(Duration::from_millis(ms));
        set(false);
        self.record_router_fault(at, from);
    }

    /// Disturbs the store's writes for `ms` milliseconds.
    fn disturb_writes(&self, ms: u64, set: impl Fn(&mut World, bool)) {
        let from = self.now_ms();
        set(&mut self.standin.world(), true);
        std::thread::sleep(Duration::from_millis(ms));
        set(&mut self.standin.world(), false);
        self.record_store_fault(from);
    }

    /// Records a fault of the store, which concerns all routers, that began at `from_ms` and ends now.
    fn record_store_fault(&self, from_ms: u64) {
        for at in 0..self.slots.len() {
            self.record_router_fault(at, from_ms);
        }
    }

    /// Takes the store down for `ms` milliseconds. With a backup, it is then restored from it, and
    /// the newest configuration is written again after half that time, as operators would.
    fn store_down(&self, n: usize, ms: u64, backup: Option<Backup>) {
        let from = self.now_ms();
        self.standin.world().store_down = true;
        std::thread::sleep(Duration::from_millis(ms));
        let restored = backup.is_some();
        {
            let mut world = self.standin.world();
            if let Some(backup) = backup {
                world.restore(backup);
                world.write_unrelated(n * WRITES_FACTOR % MAX_WRITES);
            }
            world.store_down = false;
        }
        if restored {
            std::thread::sleep(Duration::from_millis(ms / 2));
            let version = lock(&self.version);
            self.standin.world().configure(&config(*version));
        }
        self.record_store_fault(from);
    }

    /// Writes odd entries of the endpoint list: under the id of an endpoint, and those that can't be an
    /// endpoint's own under ids of their own, where they stay.
    fn write_foreign_entry(&self, n: usize) {
        let alive = self.standin.alive();
        let mut world = self.standin.world();
        let own = alive.get(n % alive.len().max(1));
        let Some((own, valid)) = own.and_then(|id| Some((id, world.own_entry(id)?))) else {
            return;
        };
        let kinds = OddEntry::all(&valid).into_iter().enumerate();
        for (kind, odd) in kinds.filter(|(kind, _)| kind % FOREIGN_PARTS == n % FOREIGN_PARTS) {
            world.configure_key(&format!("servers/{own}"), &odd.value);
            if !odd.plausible {
                world.configure_key(&format!("servers/foreign-{kind}"), &odd.value);
            }
        }
    }

    fn replace_member(&self, n: usize) {
        let from = self.now_ms();
        let group = self.standin.open_groups().pop().unwrap_or_default();
        if let Some(victim) = group.get(n % group.len().max(1)) {
            self.standin.kill(victim);
            self.standin.add(&format!("n{n}"), "pool");
        }
        self.record_endpoint_fault(from);
    }

    fn restart_endpoint(&self, n: usize) {
        let from = self.now_ms();
        let alive = self.standin.alive();
        if let Some(id) = alive.get(n % alive.len().max(1)) {
            self.standin.restart(id);
        }
        self.record_endpoint_fault(from);
    }

    fn fatal_request(&self, n: usize, times: u32) {
        self.send_fatal("fatal", n, times, |_| FATAL);
    }

    fn fatal_segment(&self, n: usize, times: u32) {
        self.send_fatal("segment", n, times, |attempt| attempt);
        for time in times..times + BESIDE_AFTER {
            self.send_beside(n, time);
            std::thread::sleep(FATAL_PAUSE);
        }
    }

    /// Sends requests of a kind that crashes endpoints to the routers in turn, each with the body that
    /// `body` returns for its attempt id, and adds engines for those that crashed.
    fn send_fatal(&self, kind: &'static str, n: usize, times: u32, body: impl Fn(&str) -> &str) {
        let from = self.now_ms();
        for time in 0..times {
            let at = time as usize % self.slots.len();
            let addr = lock(&self.slots[at]).router.callers;
            let attempt = format!("{kind}{n}-{time}");
            if let Some(mut connection) = Connection::open(addr) {
                let body = body(&attempt).to_string();
                self.send_request(&mut connection, at, kind, attempt, &body, false);
            }
            if kind == "segment" {
                self.send_beside(n, time);
            }
            std::thread::sleep(FATAL_PAUSE);
        }
        for added in 0..ADDED_ENGINES {
            self.standin.add(&format!("{kind}{n}-{added}"), "pool");
        }
        self.record_endpoint_fault(from);
    }

    /// Sends a sound request that shares its other segments with the fatal ones of fault `n`.
    fn send_beside(&self, n: usize, time: u32) {
        let at = (time as usize + 1) % self.slots.len();
        let addr = lock(&self.slots[at]).router.callers;
        let attempt = format!("beside{n}-{time}");
        if let Some(mut connection) = Connection::open(addr) {
            let body = attempt.clone();
            self.send_request(&mut connection, at, "beside", attempt, &body, false);
        }
    }

    /// Kills a percentage of the engines at once, and adds as many.
    fn crash_wave(&self, n: usize, percent: usize) {
        let from = self.now_ms();
        let engines = self.engines();
        let count = engines.len() * percent / 100;
        let victims = engines.iter().cycle().skip(n).take(count);
        victims.for_each(|id| self.standin.kill(id));
        for added in 0..count {
            self.standin.add(&format!("wave{n}-{added}"), "pool");
        }
        self.record_endpoint_fault(from);
    }

    /// Resets the connections of some engines and refuses new ones for `ms` milliseconds.
    fn reset_engines(&self, n: usize, count: usize, ms: u64) {
        let from = self.now_ms();
        let engines = self.engines();
        let victims: Vec<_> = engines.iter().cycle().skip(n).take(count).collect();
        victims.iter().for_each(|id| self.standin.disconnect(id));
        std::thread::sleep(Duration::from_millis(ms));
        victims.iter().for_each(|id| self.standin.reconnect(id));
        self.record_endpoint_fault(from);
    }

    /// Freezes some engines at once: every other time heads of open groups first. What reaches them
    /// meanwhile is lost or kept.
    fn freeze_engines(&self, n: usize, count: usize, ms: u64) {
        let from = self.now_ms();
        let heads = self.standin.open_groups().into_iter();
        let heads: Vec<_> = heads.filter_map(|group| group.into_iter().next()).collect();
        let engines = self.engines();
        let others = engines.iter().cycle().skip(n).take(engines.len());
        let first = heads.iter().filter(|_| n & 1 == 0);
        let mut victims: Vec<&String> = Vec::new();
        for id in first.chain(others) {
            if victims.len() < count && !victims.contains(&id) {
                victims.push(id);
            }
        }
        let freeze = |frozen: bool| {
            let mut world = self.standin.world();
            world.keeps_orders = n & 2 == 0;
            victims.iter().for_each(|id| world.set_frozen(id, frozen));
        };
        freeze(true);
        std::thread::sleep(Duration::from_millis(ms));
        freeze(false);
        self.record_endpoint_fault(from);
    }

    /// Delays the store's answers to the lease renewals of the router that plans; every other time the
    /// entries of the endpoint list are as late.
    fn delay_renewals(&self, n: usize, delay_ms: u64, ms: u64) {
        let from = self.now_ms();
        let delay = Duration::from_millis(delay_ms);
        let Some(planner) = self.standin.world().planner() else {
            return;
        };
        let is_planner = |slot: &Mutex<RouterSlot>| lock(slot).router.id == planner;
        let at = self.slots.iter().position(is_planner);
        let set = |renewals: Option<(String, Duration)>, entries: Duration| {
            let mut world = self.standin.world();
            world.late_renewals = renewals;
            world.entry_delay = entries;
        };
        let late = if n & 1 == 0 { delay } else { Duration::ZERO };
        set(Some((planner, delay)), late);
        std::thread::sleep(Duration::from_millis(ms));
        set(None, Duration::ZERO);
        if let Some(at) = at {
            self.record_router_fault(at, from);
        }
    }

    /// The engines that run.
    fn engines(&self) -> Vec<String> {
        let plain = self.standin.plain();
        let alive = self.standin.alive().into_iter();
        alive.filter(|id| !plain.contains(id)).collect()
    }

    /// Makes endpoints answer without framing, and break off two streams.
    fn answer_unframed(&self, n: usize, ms: u64) {
        let from = self.now_ms();
        {
            let mut world = self.standin.world();
            world.unframed = true;
            world.cuts = vec![Cut::Inside(n as u64 % EVENTS), Cut::Empty];
        }
        std::thread::sleep(Duration::from_millis(ms));
        let mut world = self.standin.world();
        world.unframed = false;
        world.cuts.clear();
        drop(world);
        self.record_endpoint_fault(from);
    }

    /// Cuts the head of an open group off from all routers.
    fn cut_head(&self, n: usize, ms: u64) {
        let from = self.now_ms();
        let groups = self.standin.open_groups();
        if groups.is_empty() {
            return;
        }
        let head = groups[n % groups.len()][0].clone();
        self.standin.world().set_cut(&head, true);
        std::thread::sleep(Duration::from_millis(ms));
        self.standin.world().set_cut(&head, false);
        self.record_endpoint_fault(from);
    }

    /// Makes an endpoint of the plain service full now and then, and give each refusal twice.
    fn repeat_refusals(&self, n: usize, ms: u64) {
        let from = self.now_ms();
        let id = format!("p{}", n % 2);
        self.standin.world().repeat_answers(&id, true);
        while self.now_ms() < from + ms {
            self.standin.world().refuse(&id, 2);
            std::thread::sleep(REFUSAL_INTERVAL);
        }
        let mut world = self.standin.world();
        world.repeat_answers(&id, false);
        world.refuse(&id, 0);
        drop(world);
        self.record_endpoint_fault(from);
    }

    /// Has callers open new connections to one router only.
    fn concentrate(&self, at: usize, ms: u64) {
        let from_ms = self.now_ms();
        if lock(&self.preferred).replace(at).is_some() {
            // Another concentration is in progress, and now goes on at this router.
            return;
        }
        std::thread::sleep(Duration::from_millis(ms));
        *lock(&self.preferred) = None;
        let to_ms = self.now_ms();
        let span = Span { from_ms, to_ms };
        lock(&self.record).concentrations.push((at, span));
    }

    /// The router that gets all new connections, if there is one.
    pub fn preferred_router(&self) -> Option<usize> {
        *lock(&self.preferred)
    }

    /// Sends requests of one account by many callers at once. Each has a body of its own, so that it
    /// isn't taken for one that was at a crash before.
    fn flood(&self, n: usize, ms: u64) {
        let from_ms = self.now_ms();
        let is_over = || self.now_ms() >= from_ms + ms;
        let call = |caller: usize| {
            let at = caller % self.slots.len();
            let mut connection = None;
            let mut sent = 0;
            while !is_over() {
                let addr = lock(&self.slots[at]).router.callers;
                connection = connection.take().or_else(|| Connection::open(addr));
                if let Some(mut open) = connection.take() {
                    let attempt = format!("flood{n}-{caller}-{sent}");
                    let body = attempt.clone();
                    let outcome = self.send_request(&mut open, at, "flood", attempt, &body, false);
                    connection = Some(open).filter(|o| outcome != Outcome::Closed && !o.closes);
                    sent += 1;
                }
                std::thread::sleep(FLOOD_PAUSE);
            }
        };
        std::thread::scope(|scope| {
            for caller in 0..FLOOD_CALLERS {
                scope.spawn(move || call(caller));
            }
        });
        let to_ms = from_ms + ms;
        lock(&self.record).floods.push(Span { from_ms, to_ms });
    }

    /// Sends a request on a connection and records its outcome; `returned` says whether it was
    /// refused before and comes back when it was asked to.
    pub fn send_request(
        &self,
        connection: &mut Connection,
        router: usize,
        kind: &'static str,
        attempt: String,
        body: &str,
        returned: bool,
    ) -> Outcome {
        let at_ms = self.now_ms();
        let outcome = connection.send_request(kind, &attempt, body);
        let sample = Sample {
            attempt,
            kind,
            router,
            at_ms,
            took_ms: self.now_ms() - at_ms,
            outcome,
            retry_after_ms: connection.retry_after_ms,
            returned,
        };
        lock(&self.record).samples.push(sample);
        outcome
    }

    /// The head of an open group, or an endpoint of the plain service.
    fn serving_endpoint(&self, n: usize) -> Option<String> {
        let heads = self.standin.open_groups().into_iter();
        let heads = heads.filter_map(|group| group.into_iter().next());
        let mut serving: Vec<_> = heads.chain(self.standin.plain()).collect();
        let at = n.checked_rem(serving.len())?;
        Some(serving.swap_remove(at))
    }

    fn hold_off_endpoint(&self, n: usize, hold_ms: u64, ms: u64) {
        let Some(id) = self.serving_endpoint(n) else {
            return;
        };
        if self.standin.world().is_holding_off(&id) {
            return;
        }
        let time = Duration::from_millis(hold_ms);
        self.standin.world().hold_off(&id, Some(time));
        std::thread::sleep(Duration::from_millis(ms));
        self.standin.world().hold_off(&id, None);
    }

    fn leave_endpoint(&self, n: usize, ms: u64) {
        let Some(id) = self.serving_endpoint(n) else {
            return;
        };
        let is_plain = self.standin.plain().contains(&id);
        let service = if is_plain { "gate" } else { "pool" };
        self.standin.add(&format!("l{n}"), service);
        self.standin.world().leave(&id);
        std::thread::sleep(Duration::from_millis(ms));
        let from = self.now_ms();
        self.standin.kill(&id);
        self.record_endpoint_fault(from);
    }

    fn limit_endpoint(&self, n: usize, rate: f64, ms: u64) {
        let id = format!("p{}", n % 2);
        let from_ms = self.now_ms();
        if self.standin.world().has_limit(&id) {
            return;
        }
        self.standin.world().limit(&id, Some(rate));
        std::thread::sleep(Duration::from_millis(ms));
        self.standin.world().limit(&id, None);
        let limited = Limited {
            endpoint: id,
            rate,
            span: Span {
                from_ms,
                to_ms: self.now_ms(),
            },
        };
        lock(&self.record).limited.push(limited);
    }
}
