//! Runs a soak and makes its record.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::client::Connection;
use super::driver::{lock, Driver, RouterSlot};
use super::judge::MAX_DESCRIPTORS;
use super::{sockets, Outcome, Plan, ProcessFigures, Received, Record, SoakSettings};
use crate::direct::{served, start_routers_with, Standin, World};
use crate::Relay;

const CALLERS_PER_ROUTER: usize = 4;

/// Further callers, which come back when they are asked to.
const RETURNING_PER_ROUTER: usize = 3;

/// Kinds of requests, one for each caller in turn.
const KINDS: [&str; 4] = ["stream", "once", "safe", "stream"];

/// Pause of a caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(15);

/// Time between two samples of the processes.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// Time limit for the recovery of the fleet after the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a soak; `progress` is called with a line of text as each fault begins.
///
/// # Panics
/// When the fleet can't be started, or a thread of the soak panics.
pub fn soak(settings: &SoakSettings, plan: &Plan, progress: impl Fn(&str)) -> Record {
    std::fs::create_dir_all(&settings.dir).expect("a folder for logs");
    let standin = Standin::start_in(settings.domains, settings.engines, 2);
    standin.world().lapses = true;
    let relay = |_| Relay::start(standin.store);
    let relays: Vec<Relay> = (0..settings.routers).map(relay).collect();
    let stores: Vec<_> = relays.iter().map(Relay::addr).collect();
    let on = plan.features.iter().map(|name| format!("{name} = on\n"));
    let features = format!("[features]\n{}", on.collect::<String>());
    let routers = start_routers_with(&standin, &stores, &settings.dir, &features);
    let slot = |router| {
        Mutex::new(RouterSlot {
            router,
            restarts: 0,
        })
    };
    let driver = Arc::new(Driver {
        begin: Instant::now(),
        standin,
        slots: routers.into_iter().map(slot).collect(),
        relays,
        record: Mutex::new(Record {
            seconds: settings.seconds,
            features: plan.features.clone(),
            ..Record::default()
        }),
        version: Mutex::new(1),
        backup: Mutex::new(None),
        preferred: Mutex::new(None),
    });
    let stop = Arc::new(AtomicBool::new(false));
    let number = Arc::new(AtomicU64::new(0));
    let mut threads = Vec::new();
    for n in 0..CALLERS_PER_ROUTER * settings.routers {
        let (driver, stop, number) = (driver.clone(), stop.clone(), number.clone());
        threads.push(std::thread::spawn(move || {
            run_caller(&driver, n, &stop, &number);
        }));
    }
    for n in 0..RETURNING_PER_ROUTER * settings.routers {
        let router = n % settings.routers;
        let (driver, stop, number) = (driver.clone(), stop.clone(), number.clone());
        threads.push(std::thread::spawn(move || {
            run_returning_caller(&driver, router, &stop, &number);
        }));
    }
    let (sampled, sampling) = (driver.clone(), stop.clone());
    threads.push(std::thread::spawn(move || {
        sample_processes(&sampled, &sampling)
    }));
    inject_faults(&driver, plan, progress);
    let recovered = wait_recovery(&driver);
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.join().expect("a thread of the soak");
    }
    complete_record(&driver, settings, recovered)
}

/// Injects all faults, each at its time on a thread of its own, and waits until all are over. Makes
/// a backup of the store before every fourth one.
fn inject_faults(driver: &Arc<Driver>, plan: &Plan, progress: impl Fn(&str)) {
    let mut threads = Vec::new();
    for (n, planned) in plan.faults.iter().enumerate() {
        let at = Duration::from_millis(planned.at_ms);
        std::thread::sleep(at.saturating_sub(driver.begin.elapsed()));
        if n % 4 == 0 {
            let backup = driver.standin.world().backup();
            *lock(&driver.backup) = Some(backup);
        }
        let samples = lock(&driver.record).samples.len();
        progress(&format!(
            "{:>6} ms  {}  ({samples} requests)",
            driver.now_ms(),
            planned.fault
        ));
        let (driver, fault) = (driver.clone(), planned.fault.clone());
        threads.push(std::thread::spawn(move || driver.inject(n, &fault)));
    }
    for thread in threads {
        thread.join().expect("a fault");
    }
}

/// Runs one caller. It keeps its connection until that is closed, and then connects to the next
/// router that accepts one, as behind a load balancer. Every other caller also drops its connection
/// after an answer with `Connection: close`.
fn run_caller(driver: &Driver, n: usize, stop: &AtomicBool, number: &AtomicU64) {
    let mut router = n % driver.slots.len();
    let mut connection = None;
    while !stop.load(Ordering::Relaxed) {
        let Some(open) = connection.as_mut() else {
            let next = (router + 1) % driver.slots.len();
            router = driver.preferred_router().unwrap_or(next);
            let addr = lock(&driver.slots[router]).router.callers;
            connection = Connection::open(addr);
            std::thread::sleep(CALLER_PAUSE);
            continue;
        };
        let kind = KINDS[n % KINDS.len()];
        let attempt = format!("{kind}{}", number.fetch_add(1, Ordering::Relaxed));
        let outcome = driver.send_request(open, router, kind, attempt, "", false);
        let must_leave = open.closes && n & 1 == 0;
        let reconnects = driver.preferred_router().is_some();
        if outcome == Outcome::Closed || must_leave || reconnects {
            connection = None;
        }
        std::thread::sleep(CALLER_PAUSE);
    }
}

/// Runs a caller of its own router whose requests differ from all others. One that is refused comes back
/// when it was asked to, once.
fn run_returning_caller(driver: &Driver, home: usize, stop: &AtomicBool, number: &AtomicU64) {
    let mut router = home;
    let mut connection = None;
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(CALLER_PAUSE);
        let Some(open) = connection.as_mut() else {
            router = driver.preferred_router().unwrap_or(home);
            let addr = lock(&driver.slots[router]).router.callers;
            connection = Connection::open(addr);
            continue;
        };
        let body = format!("stream{}", number.fetch_add(1, Ordering::Relaxed));
        let mut outcome = driver.send_request(open, router, "stream", body.clone(), &body, false);
        let again = open.retry_after_ms.filter(|_| outcome == Outcome::NotRun);
        if let Some(ms) = again.filter(|_| !open.closes) {
            std::thread::sleep(Duration::from_millis(ms));
            let attempt = format!("{body}-returned");
            outcome = driver.send_request(open, router, "stream", attempt, &body, true);
        }
        if outcome == Outcome::Closed || open.closes || driver.preferred_router().is_some() {
            connection = None;
        }
    }
}

/// Samples the resource usage and the routing versions of the routers until `stop` is set.
fn sample_processes(driver: &Driver, stop: &AtomicBool) {
    let mut usages = vec![ProcessFigures::default(); driver.slots.len()];
    while !stop.load(Ordering::Relaxed) {
        for (at, usage) in usages.iter_mut().enumerate() {
            let (ready, pid, restarts) = {
                let slot = lock(&driver.slots[at]);
                (slot.router.ready, slot.router.child.id(), slot.restarts)
            };
            sample_usage(usage, pid);
            let version = crate::direct::routing_version_at(ready);
            if lock(&driver.slots[at]).restarts == restarts {
                let mut record = lock(&driver.record);
                let versions = record.versions.entry((at, restarts)).or_default();
                versions.extend(version);
                let at_ms = driver.now_ms();
                let reading = version.map(|version| (at_ms, at, version));
                record.readings.extend(reading);
            }
        }
        std::thread::sleep(SAMPLE_INTERVAL);
    }
    lock(&driver.record).usages = usages;
}

/// Time in which a process that was just started closes the descriptors that it has from this one.
const START_TIME: Duration = Duration::from_millis(50);

/// Number of open descriptors of a process, without those that it has from this process while it starts.
fn count_descriptors(pid: u32) -> u64 {
    let count = || std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count) as u64;
    let found = count();
    if found <= MAX_DESCRIPTORS {
        return found;
    }
    std::thread::sleep(START_TIME);
    found.min(count())
}

/// Raises the maxima to the present memory and descriptors of a process; one that has ended uses
/// none.
fn sample_usage(usage: &mut ProcessFigures, pid: u32) {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let memory = line.and_then(|l| l.trim().trim_end_matches("kB").trim().parse().ok());
    usage.memory_kb = usage.memory_kb.max(memory.unwrap_or(0));
    usage.descriptors = usage.descriptors.max(count_descriptors(pid));
    if usage.descriptors > MAX_DESCRIPTORS {
        usage.sockets.get_or_insert_with(|| sockets::summary(pid));
    }
}

/// Waits until all routers have the newest configuration in force and serve streams; returns the
/// milliseconds that it took, or `None` where it took longer than [`RECOVERY_TIMEOUT`].
fn wait_recovery(driver: &Driver) -> Option<u64> {
    let since = Instant::now();
    let serves = |n: usize| {
        let slot = lock(&driver.slots[n]);
        let newest = slot.router.routing() == Some(*lock(&driver.version));
        newest && served(&slot.router, &format!("after-{n}"))
    };
    while since.elapsed() < RECOVERY_TIMEOUT {
        if (0..driver.slots.len()).all(serves) {
            return Some(since.elapsed().as_millis() as u64);
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    None
}

/// Adds the recovery, the sizes of the logs and what the stand-in has recorded to the record.
fn complete_record(driver: &Driver, settings: &SoakSettings, recovered_ms: Option<u64>) -> Record {
    let mut record = std::mem::take(&mut *lock(&driver.record));
    record.recovered_ms = recovered_ms;
    for (n, usage) in record.usages.iter_mut().enumerate() {
        let log = settings.dir.join(format!("r{}.log", n + 1));
        usage.log_bytes = std::fs::metadata(log).map_or(0, |m| m.len());
    }
    let world = driver.standin.world();
    record.ran = world.ran.clone().into_iter().collect();
    record.once = world.once.clone().into_iter().collect();
    record.audit = world.broken.clone();
    let after = |at: &Instant| at.saturating_duration_since(driver.begin).as_millis() as u64;
    record.received = received(&record, &world, after);
    record.fatal_ms = world.fatal.iter().map(after).collect();
    record.segment_ms = world.fatal_segment.iter().map(after).collect();
    record
}

/// The callers' requests as the endpoints received them.
fn received(record: &Record, world: &World, after: impl Fn(&Instant) -> u64) -> Vec<Received> {
    let samples = record.samples.iter().map(|s| (s.attempt.as_str(), s));
    let samples: HashMap<_, _> = samples.collect();
    let all = world.all_requests().filter_map(|(id, arrival)| {
        let sample = samples.get(arrival.attempt.as_str())?;
        Some(Received {
            endpoint: id.to_string(),
            life: arrival.life,
            router: sample.router,
            sent_ms: sample.at_ms,
            at_ms: after(&arrival.at),
            done_ms: sample.at_ms + sample.took_ms,
            hold_off_ms: arrival.hold_off.map(|time| time.as_millis() as u64),
            leaving: arrival.leaving,
        })
    });
    all.collect()
}
