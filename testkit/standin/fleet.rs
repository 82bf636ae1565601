use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use super::call::call;
use super::{Router, Standin, EVENTS};

/// Time limit for each step of the start of a fleet.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(30);

/// Waits until a condition holds.
///
/// # Panics
/// When it doesn't hold within `limit`.
pub fn until(what: &str, limit: Duration, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < limit, "timed out: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Starts a stand-in and two routers, and waits until they serve.
pub fn fleet(engines: usize, dir: &Path) -> (Standin, Vec<Router>) {
    start_fleet(2, engines, dir)
}

/// Starts a stand-in and routers (`r1`, `r2` and so on), and waits until they serve.
pub fn start_fleet(routers: usize, engines: usize, dir: &Path) -> (Standin, Vec<Router>) {
    let standin = Standin::start(engines, 2);
    let stores = vec![standin.store; routers];
    let routers = start_routers(&standin, &stores, dir);
    (standin, routers)
}

/// Starts one router for each address of `stores`, at which it reaches the store. Waits until a
/// group is open, all routers are ready and the first one serves a stream.
///
/// # Panics
/// When one of these doesn't happen within `STARTUP_TIMEOUT`.
pub fn start_routers(standin: &Standin, stores: &[SocketAddr], dir: &Path) -> Vec<Router> {
    start_routers_with(standin, stores, dir, &[])
}

/// The same, with optional parts of the policy switched on.
///
/// # Panics
/// As [`start_routers`].
pub fn start_routers_with(
    standin: &Standin,
    stores: &[SocketAddr],
    dir: &Path,
    features: &[&str],
) -> Vec<Router> {
    let start = |(n, store): (usize, &SocketAddr)| {
        let id = format!("r{}", n + 1);
        Router::start_with(&id, *store, dir, features)
    };
    let routers: Vec<_> = stores.iter().enumerate().map(start).collect();
    until("a group opens", STARTUP_TIMEOUT, || {
        !standin.open_groups().is_empty()
    });
    wait_until_ready(&routers, dir);
    until("a stream is served", STARTUP_TIMEOUT, || {
        served(&routers[0], "first")
    });
    routers
}

/// Waits until all routers are ready; otherwise fails with the log of the first one that isn't.
fn wait_until_ready(routers: &[Router], dir: &Path) {
    let start = Instant::now();
    while let Some(n) = routers.iter().position(|r| !r.is_ready()) {
        let id = format!("r{}", n + 1);
        assert!(
            start.elapsed() < STARTUP_TIMEOUT,
            "{id} isn't ready after {STARTUP_TIMEOUT:?}; its log:\n{}",
            read_log(dir, &id)
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn read_log(dir: &Path, id: &str) -> String {
    std::fs::read_to_string(dir.join(format!("{id}.log"))).unwrap_or_default()
}

/// Whether a router answers a stream request with all events.
pub fn served(router: &Router, attempt: &str) -> bool {
    let answer = call(router.callers, "POST", "/stream/x", attempt);
    answer.is_some_and(|a| a.status == 200 && a.complete && a.events().len() as u64 == EVENTS)
}

/// Logs of the routers `r1` and `r2`, for the message of a failed test.
pub fn logs(dir: &Path) -> String {
    format!("r1:\n{}\nr2:\n{}", read_log(dir, "r1"), read_log(dir, "r2"))
}
