use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use super::call::call;
use super::{Router, Standin, EVENTS};

/// Longest time for a fleet to get going.
const START: Duration = Duration::from_secs(30);

/// Waits until something holds.
///
/// # Panics
/// When it doesn't in time.
pub fn until(what: &str, most: Duration, mut done: impl FnMut() -> bool) {
    let since = Instant::now();
    while !done() {
        assert!(since.elapsed() < most, "not in time: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// A fleet of two routers that serves.
pub fn fleet(engines: usize, dir: &Path) -> (Standin, Vec<Router>) {
    fleet_of(2, engines, dir)
}

/// A fleet of some routers, `r1` and so on, that serves.
pub fn fleet_of(routers: usize, engines: usize, dir: &Path) -> (Standin, Vec<Router>) {
    let standin = Standin::start(engines, 2);
    let stores = vec![standin.store; routers];
    let routers = fleet_behind(&standin, &stores, dir);
    (standin, routers)
}

/// Routers that serve, each of which reaches the store at an address of its own.
///
/// # Panics
/// When they don't get going.
pub fn fleet_behind(standin: &Standin, stores: &[SocketAddr], dir: &Path) -> Vec<Router> {
    let start = |(n, store): (usize, &SocketAddr)| {
        let id = format!("r{}", n + 1);
        Router::start(&id, *store, dir)
    };
    let routers: Vec<_> = stores.iter().enumerate().map(start).collect();
    until("a group opens", START, || !standin.open_groups().is_empty());
    until("routers are ready", START, || {
        routers.iter().all(Router::is_ready)
    });
    until("a stream is served", START, || served(&routers[0], "first"));
    routers
}

/// Whether a router serves a whole stream.
pub fn served(router: &Router, attempt: &str) -> bool {
    let answer = call(router.callers, "POST", "/stream/x", attempt);
    answer.is_some_and(|a| a.status == 200 && a.complete && a.events().len() as u64 == EVENTS)
}

/// The routers' logs, for a failure.
pub fn logs(dir: &Path) -> String {
    let read =
        |id: &str| std::fs::read_to_string(dir.join(format!("{id}.log"))).unwrap_or_default();
    format!("r1:\n{}\nr2:\n{}", read("r1"), read("r2"))
}
