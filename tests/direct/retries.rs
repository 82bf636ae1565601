//! Retries of all routers together keep to one budget in any window.

use runrail::logic::direct::{DirectEffect, RunPart};
use runrail::types::InstanceId;

use crate::fixture::{addr, plain, run, Router};

/// Window of the budget with the default settings.
const WINDOW_MS: u64 = 10_000;

/// Retries per request and fixed number of further retries, with the default settings.
const RATIO: f64 = 0.2;
const EXTRA_RETRIES: u64 = 160;

/// Fewest routers that the fixed number is divided by.
const MIN_ROUTERS: u64 = 16;

/// Requests and how many of them were retried.
#[derive(Default)]
struct Count {
    requests: u64,
    retries: u64,
}

impl Count {
    /// Retries allowed for the requests, with a router's part of the fixed number.
    fn allowed(&self, part: u64) -> u64 {
        (self.requests as f64 * RATIO) as u64 + part
    }
}

/// A router that has just started and knows some other routers and many endpoints.
fn router_with_peers(now: u64, others: u16) -> Router {
    let mut router = router_without_peers(now);
    router.advance_ms(20);
    for n in 0..others {
        let id = InstanceId::new(&format!("other{n}"));
        router.state().peers.insert(id, addr(2_000 + n));
    }
    router
}

/// A router that starts now and hasn't read the addresses of the other routers.
fn router_without_peers(now: u64) -> Router {
    let mut router = Router::started(now, (0..300).map(plain).collect());
    router.state().retries_from = None;
    router
}

/// Sends requests whose first endpoint has no room; a retry is served.
fn send_refused_requests(router: &mut Router, requests: u64, count: &mut Count) {
    let refuses = RunPart::Complete {
        status: 503,
        not_run: true,
    };
    let serves = RunPart::Complete {
        status: 200,
        not_run: false,
    };
    for _ in 0..requests {
        count.requests += 1;
        let first = run(&router.ask(1_000 + count.requests, "/safe/x"));
        let effects = router.part(first.run, refuses.clone());
        if effects.iter().any(|e| matches!(e, DirectEffect::Run(_))) {
            count.retries += 1;
            router.part(run(&effects).run, serves.clone());
        }
    }
}

/// Guards against routers that are killed repeatedly and send several times the budget because
/// each start gives them their part of the fixed number again.
#[test]
fn a_router_that_is_killed_again_and_again_spends_its_part_once_in_a_window() {
    let mut count = Count::default();
    let mut router = router_with_peers(1_000, 10);
    router.advance_ms(2 * WINDOW_MS);
    let begin = router.now;
    send_refused_requests(&mut router, 60, &mut count);
    for start in [2_000, 4_500, 7_000] {
        let mut next = router_with_peers(begin + start, 10);
        next.advance_ms(500);
        send_refused_requests(&mut next, 60, &mut count);
    }
    let allowed = count.allowed(EXTRA_RETRIES / MIN_ROUTERS);
    assert!(count.retries <= allowed, "{} of {allowed}", count.retries);
}

/// Guards against retries that are forgotten up to a tenth of the window too early, as they
/// are counted in tenths.
#[test]
fn retries_less_than_a_window_apart_share_a_budget() {
    let mut router = router_with_peers(1_000, 10);
    router.advance_ms(2 * WINDOW_MS - 1_030);
    assert_eq!(router.now, 2 * WINDOW_MS - 10, "just before a tenth ends");
    let mut count = Count::default();
    send_refused_requests(&mut router, 60, &mut count);
    router.advance_ms(WINDOW_MS - 980);
    send_refused_requests(&mut router, 60, &mut count);
    let allowed = count.allowed(EXTRA_RETRIES / MIN_ROUTERS);
    assert!(count.retries <= allowed, "{} of {allowed}", count.retries);
}

/// Guards against a router that takes a larger part of the fixed number when it no longer
/// sees the others, which have already spent theirs.
#[test]
fn a_router_that_loses_sight_of_others_keeps_its_part_for_a_window() {
    let mut router = router_with_peers(1_000, 51);
    router.advance_ms(2 * WINDOW_MS);
    let mut count = Count::default();
    send_refused_requests(&mut router, 60, &mut count);
    router.advance_ms(1_000);
    router.state().peers.clear();
    send_refused_requests(&mut router, 60, &mut count);
    let allowed = count.allowed(EXTRA_RETRIES / 52);
    assert!(count.retries <= allowed, "{} of {allowed}", count.retries);
}

/// Guards against a budget that withholds the fixed number from routers that keep running.
#[test]
fn a_router_that_has_run_for_a_window_has_its_part() {
    let mut router = router_with_peers(1_000, 10);
    router.advance_ms(2 * WINDOW_MS);
    let mut count = Count::default();
    send_refused_requests(&mut router, 60, &mut count);
    assert_eq!(count.retries, count.allowed(EXTRA_RETRIES / MIN_ROUTERS));
    router.advance_ms(2 * WINDOW_MS);
    let mut later = Count::default();
    send_refused_requests(&mut router, 60, &mut later);
    assert_eq!(later.retries, later.allowed(EXTRA_RETRIES / MIN_ROUTERS));
}

/// Guards against routers that can't read the store, know no others and so divide the fixed
/// number by too few.
#[test]
fn a_router_that_knows_no_others_yet_keeps_to_the_ratio() {
    let mut router = router_without_peers(1_000);
    router.state().registration.next_at = u64::MAX;
    router.state().plan.lease.next_call = u64::MAX;
    router.advance_ms(2 * WINDOW_MS);
    let mut count = Count::default();
    send_refused_requests(&mut router, 60, &mut count);
    assert!(count.retries <= count.allowed(0), "{}", count.retries);
}

/// Before the first start of the system no retries were spent, so callers need not wait.
#[test]
fn at_the_first_start_of_the_system_a_router_has_its_part_within_two_seconds() {
    let mut router = router_without_peers(1_000);
    router.state().plan.first_start = true;
    router.advance_ms(2_000);
    let mut count = Count::default();
    send_refused_requests(&mut router, 60, &mut count);
    assert_eq!(count.retries, count.allowed(EXTRA_RETRIES / MIN_ROUTERS));
}

/// Guards against a restarted router that retries a share of its own requests in the same
/// window in which the process before it spent the share of many earlier requests.
#[test]
fn retries_of_an_earlier_process_are_not_spent_again() {
    let mut router = router_with_peers(1_000, 10);
    router.advance_ms(2 * WINDOW_MS);
    let served = RunPart::Complete {
        status: 200,
        not_run: false,
    };
    for n in 0..300 {
        let sent = run(&router.ask(n, "/safe/x"));
        router.part(sent.run, served.clone());
    }
    router.advance_ms(WINDOW_MS - 2_000);
    let mut count = Count::default();
    send_refused_requests(&mut router, 100, &mut count);
    let mut next = router_with_peers(router.now + 500, 10);
    next.advance_ms(500);
    send_refused_requests(&mut next, 100, &mut count);
    let earlier = 300.0 * RATIO;
    let allowed = count
        .allowed(EXTRA_RETRIES / MIN_ROUTERS)
        .max(earlier as u64 + 20 + EXTRA_RETRIES / MIN_ROUTERS);
    assert!(count.retries <= allowed, "{} of {allowed}", count.retries);
}
