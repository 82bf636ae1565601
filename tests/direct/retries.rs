//! Retries of all routers together keep to one budget over any window.

use runrail::logic::direct::{DirectEffect, RunPart};
use runrail::types::InstanceId;

use crate::fixture::{addr, plain, run, Router};

/// Window of the budget with usual settings, in milliseconds.
const WINDOW: u64 = 10_000;

/// Retries a request and retries beside, with usual settings.
const RATIO: f64 = 0.2;
const EXTRA: u64 = 160;

/// Parts that the fixed number is divided into where there are few routers.
const PARTS: u64 = 16;

/// Requests that were sent and sent again.
#[derive(Default)]
struct Count {
    requests: u64,
    retries: u64,
}

impl Count {
    /// Retries that a router may send for the requests, with a part of the fixed number.
    fn allowed(&self, part: u64) -> u64 {
        (self.requests as f64 * RATIO) as u64 + part
    }
}

/// A process that has just started and knows some other routers and plenty of endpoints.
fn life(now: u64, others: u16) -> Router {
    let mut router = unread(now);
    router.pass(20);
    for n in 0..others {
        let id = InstanceId::new(&format!("other{n}"));
        router.state().peers.insert(id, addr(2_000 + n));
    }
    router
}

/// A process that starts now and hasn't read who the other routers are.
fn unread(now: u64) -> Router {
    let mut router = Router::started(now, (0..300).map(plain).collect());
    router.state().retries_from = None;
    router
}

/// Requests whose first endpoint has no room; what is sent again is served.
fn shed(router: &mut Router, requests: u64, count: &mut Count) {
    let sheds = RunPart::Whole {
        status: 503,
        not_run: true,
    };
    let serves = RunPart::Whole {
        status: 200,
        not_run: false,
    };
    for _ in 0..requests {
        count.requests += 1;
        let first = run(&router.ask(1_000 + count.requests, "/safe/x"));
        let effects = router.part(first.run, sheds.clone());
        if effects.iter().any(|e| matches!(e, DirectEffect::Run(_))) {
            count.retries += 1;
            router.part(run(&effects).run, serves.clone());
        }
    }
}

/// Each start gave a router its part of the fixed number anew, so that routers which were
/// killed again and again sent several times the budget.
#[test]
fn a_router_that_is_killed_again_and_again_spends_its_part_once_in_a_window() {
    let mut count = Count::default();
    let mut router = life(1_000, 10);
    router.pass(2 * WINDOW);
    let begin = router.now;
    shed(&mut router, 60, &mut count);
    for start in [2_000, 4_500, 7_000] {
        let mut next = life(begin + start, 10);
        next.pass(500);
        shed(&mut next, 60, &mut count);
    }
    let allowed = count.allowed(EXTRA / PARTS);
    assert!(count.retries <= allowed, "{} of {allowed}", count.retries);
}

/// What a tenth of the window holds was forgotten up to a tenth too early.
#[test]
fn retries_less_than_a_window_apart_share_a_budget() {
    let mut router = life(1_000, 10);
    router.pass(2 * WINDOW - 1_030);
    assert_eq!(router.now, 2 * WINDOW - 10, "just before a tenth ends");
    let mut count = Count::default();
    shed(&mut router, 60, &mut count);
    router.pass(WINDOW - 980);
    shed(&mut router, 60, &mut count);
    let allowed = count.allowed(EXTRA / PARTS);
    assert!(count.retries <= allowed, "{} of {allowed}", count.retries);
}

/// A router that lost sight of others took a larger part while theirs was spent.
#[test]
fn a_router_that_loses_sight_of_others_keeps_its_part_for_a_window() {
    let mut router = life(1_000, 51);
    router.pass(2 * WINDOW);
    let mut count = Count::default();
    shed(&mut router, 60, &mut count);
    router.pass(1_000);
    router.state().peers.clear();
    shed(&mut router, 60, &mut count);
    let allowed = count.allowed(EXTRA / 52);
    assert!(count.retries <= allowed, "{} of {allowed}", count.retries);
}

/// The bound holds without taking the fixed number away from routers that live on.
#[test]
fn a_router_that_has_lived_for_a_window_has_its_part() {
    let mut router = life(1_000, 10);
    router.pass(2 * WINDOW);
    let mut count = Count::default();
    shed(&mut router, 60, &mut count);
    assert_eq!(count.retries, count.allowed(EXTRA / PARTS));
    router.pass(2 * WINDOW);
    let mut later = Count::default();
    shed(&mut router, 60, &mut later);
    assert_eq!(later.retries, later.allowed(EXTRA / PARTS));
}

/// Routers that can't read the store know nobody and would take a part each of too few.
#[test]
fn a_router_that_knows_no_others_yet_keeps_to_the_ratio() {
    let mut router = unread(1_000);
    router.state().presence.next_at = u64::MAX;
    router.state().plan.duty.next_at = u64::MAX;
    router.pass(2 * WINDOW);
    let mut count = Count::default();
    shed(&mut router, 60, &mut count);
    assert!(count.retries <= count.allowed(0), "{}", count.retries);
}

/// Nothing was spent before the system first started, so callers need not wait.
#[test]
fn at_the_first_start_of_the_system_a_router_has_its_part_within_two_seconds() {
    let mut router = unread(1_000);
    router.state().plan.first = true;
    router.pass(2_000);
    let mut count = Count::default();
    shed(&mut router, 60, &mut count);
    assert_eq!(count.retries, count.allowed(EXTRA / PARTS));
}

/// A life that follows one which spent the share of many earlier requests at its end would
/// take the share of its own requests in the same window.
#[test]
fn what_an_earlier_life_spent_at_its_end_is_not_spent_again() {
    let mut router = life(1_000, 10);
    router.pass(2 * WINDOW);
    let served = RunPart::Whole {
        status: 200,
        not_run: false,
    };
    for n in 0..300 {
        let sent = run(&router.ask(n, "/safe/x"));
        router.part(sent.run, served.clone());
    }
    router.pass(WINDOW - 2_000);
    let mut count = Count::default();
    shed(&mut router, 100, &mut count);
    let mut next = life(router.now + 500, 10);
    next.pass(500);
    shed(&mut next, 100, &mut count);
    let earlier = 300.0 * RATIO;
    let allowed = count
        .allowed(EXTRA / PARTS)
        .max(earlier as u64 + 20 + EXTRA / PARTS);
    assert!(count.retries <= allowed, "{} of {allowed}", count.retries);
}
