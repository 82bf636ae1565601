//! Runs a soak from its beginning to its record.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::client::Connection;
use super::driver::{lock, Driver, Slot};
use super::{Outcome, Plan, ProcessFigures, Record, SoakSettings};
use crate::direct::{served, start_routers, Standin};
use crate::Relay;

/// Callers for each router.
const CALLERS: usize = 4;

/// What callers ask for, in turn.
const KINDS: [&str; 4] = ["stream", "once", "safe", "stream"];

/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(15);

/// Time between two looks at the figures of the processes.
const FIGURES: Duration = Duration::from_millis(250);

/// Time that the fleet has to recover in.
const RECOVERY: Duration = Duration::from_secs(30);

/// Runs a soak; `progress` is told of each fault as it begins.
///
/// # Panics
/// When the fleet can't be started.
pub fn soak(settings: &SoakSettings, plan: &Plan, progress: impl Fn(&str)) -> Record {
    std::fs::create_dir_all(&settings.dir).expect("a folder for logs");
    let standin = Standin::start(settings.engines, 2);
    let relay = |_| Relay::start(standin.store);
    let relays: Vec<Relay> = (0..settings.routers).map(relay).collect();
    let stores: Vec<_> = relays.iter().map(Relay::addr).collect();
    let routers = start_routers(&standin, &stores, &settings.dir);
    let slot = |router| Mutex::new(Slot { router, life: 0 });
    let driver = Arc::new(Driver {
        begin: Instant::now(),
        standin,
        slots: routers.into_iter().map(slot).collect(),
        relays,
        record: Mutex::new(Record {
            seconds: settings.seconds,
            ..Record::default()
        }),
        version: Mutex::new(1),
        copy: Mutex::new(None),
    });
    let stop = Arc::new(AtomicBool::new(false));
    let number = Arc::new(AtomicU64::new(0));
    let mut threads = Vec::new();
    for n in 0..CALLERS * settings.routers {
        let (driver, stop, number) = (driver.clone(), stop.clone(), number.clone());
        threads.push(std::thread::spawn(move || {
            caller(&driver, n, &stop, &number);
        }));
    }
    let (watched, watching) = (driver.clone(), stop.clone());
    threads.push(std::thread::spawn(move || watch(&watched, &watching)));
    faults(&driver, plan, progress);
    let recovered = recover(&driver);
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.join().expect("a thread of the soak");
    }
    finish(&driver, settings, recovered)
}

/// Carries out all faults, each in its time, and waits for their ends.
fn faults(driver: &Arc<Driver>, plan: &Plan, progress: impl Fn(&str)) {
    let mut threads = Vec::new();
    for (n, planned) in plan.faults.iter().enumerate() {
        let at = Duration::from_millis(planned.at_ms);
        std::thread::sleep(at.saturating_sub(driver.begin.elapsed()));
        if n % 4 == 0 {
            let copy = driver.standin.world().copy();
            *lock(&driver.copy) = Some(copy);
        }
        let samples = lock(&driver.record).samples.len();
        progress(&format!(
            "{:>6} ms  {}  ({samples} requests)",
            driver.now(),
            planned.fault
        ));
        let (driver, fault) = (driver.clone(), planned.fault.clone());
        threads.push(std::thread::spawn(move || driver.carry_out(n, &fault)));
    }
    for thread in threads {
        thread.join().expect("a fault");
    }
}

/// One caller: it keeps its connection until that ends, and then takes the next router that
/// can be had, as behind a balancer. Every other one leaves when it is told to.
fn caller(driver: &Driver, n: usize, stop: &AtomicBool, number: &AtomicU64) {
    let mut router = n % driver.slots.len();
    let mut connection = None;
    while !stop.load(Ordering::Relaxed) {
        let Some(open) = connection.as_mut() else {
            router = (router + 1) % driver.slots.len();
            let addr = lock(&driver.slots[router]).router.callers;
            connection = Connection::open(addr);
            std::thread::sleep(PAUSE);
            continue;
        };
        let kind = KINDS[n % KINDS.len()];
        let attempt = format!("{kind}{}", number.fetch_add(1, Ordering::Relaxed));
        let outcome = driver.ask(open, router, kind, attempt, "");
        let leaves = open.closes && n & 1 == 0;
        if outcome == Outcome::Closed || leaves {
            connection = None;
        }
        std::thread::sleep(PAUSE);
    }
}

/// Looks at the processes while they run.
fn watch(driver: &Driver, stop: &AtomicBool) {
    let mut figures = vec![ProcessFigures::default(); driver.slots.len()];
    while !stop.load(Ordering::Relaxed) {
        for (at, most) in figures.iter_mut().enumerate() {
            let (ready, pid, life) = {
                let slot = lock(&driver.slots[at]);
                (slot.router.ready, slot.router.child.id(), slot.life)
            };
            look(most, pid);
            let version = crate::direct::routing_version_at(ready);
            if lock(&driver.slots[at]).life == life {
                let mut record = lock(&driver.record);
                let told = record.versions.entry((at, life)).or_default();
                told.extend(version);
            }
        }
        std::thread::sleep(FIGURES);
    }
    lock(&driver.record).figures = figures;
}

/// Memory and descriptors of a process; one that has ended uses none.
fn look(most: &mut ProcessFigures, pid: u32) {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let memory = line.and_then(|l| l.trim().trim_end_matches("kB").trim().parse().ok());
    let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
    most.memory_kb = most.memory_kb.max(memory.unwrap_or(0));
    most.descriptors = most.descriptors.max(descriptors as u64);
}

/// Waits until all routers serve by the newest configuration; how long that took.
fn recover(driver: &Driver) -> Option<u64> {
    let since = Instant::now();
    let serves = |n: usize| {
        let slot = lock(&driver.slots[n]);
        let newest = slot.router.routing() == Some(*lock(&driver.version));
        newest && served(&slot.router, &format!("after-{n}"))
    };
    while since.elapsed() < RECOVERY {
        if (0..driver.slots.len()).all(serves) {
            return Some(since.elapsed().as_millis() as u64);
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    None
}

fn finish(driver: &Driver, settings: &SoakSettings, recovered_ms: Option<u64>) -> Record {
    let mut record = std::mem::take(&mut *lock(&driver.record));
    record.recovered_ms = recovered_ms;
    for (n, figures) in record.figures.iter_mut().enumerate() {
        let log = settings.dir.join(format!("r{}.log", n + 1));
        figures.log_bytes = std::fs::metadata(log).map_or(0, |m| m.len());
    }
    let world = driver.standin.world();
    record.ran = world.ran.clone().into_iter().collect();
    record.once = world.once.clone().into_iter().collect();
    record.audit = world.broken.clone();
    let after = |at: &Instant| at.duration_since(driver.begin).as_millis() as u64;
    record.fatal_ms = world.fatal.iter().map(after).collect();
    record
}
