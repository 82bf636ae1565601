//! A router process that was paused or kept busy for a while.

use std::sync::Arc;

use runrail::logic::direct::{DirectEffect, DirectEvent, Problem};
use runrail::logic::{Effect, Event, LogCode};

use crate::fixture::{open_group, problem, request, routing, Router};

/// A pause after which the routing read before may be outdated.
const PAUSE_MS: u64 = 2_000;

/// Sends a request to a router that was paused; its read of the routing stays open.
fn ask_after_pause(router: &mut Router, path: &str) -> Vec<DirectEffect> {
    router.checks = false;
    router.now += PAUSE_MS;
    router.ask(1, path)
}

/// Ends the read of the routing that the effects ask for.
fn finish_read(router: &mut Router, effects: &[DirectEffect]) {
    let read_number = effects.iter().find_map(|e| match e {
        DirectEffect::ReadRouting { read_number } => Some(*read_number),
        _ => None,
    });
    let read_number = read_number.expect("the routing is read again");
    router.tell(DirectEvent::RoutingChecked { read_number });
}

/// Guards against a router that refuses callers by an outdated routing: after a planning pass
/// of seconds the new routing still lay unread in the planner's socket.
#[test]
fn a_router_that_was_paused_reads_the_routing_before_it_answers() {
    let mut router = Router::new(open_group("g1", [1, 2, 3]));
    let paused = ask_after_pause(&mut router, "/new/x");
    assert_eq!(problem(&paused), None);
    router.take_effects();
    let mut newer = routing(2);
    let mut route = newer
        .route("a.example", "/safe/x")
        .expect("a route")
        .as_ref()
        .clone();
    route.prefix = "/new/".into();
    newer.add_route("a.example", route);
    router.tell(DirectEvent::Routing(Arc::new(newer)));
    finish_read(&mut router, &paused);
    assert_ne!(problem(&router.take_effects()), Some(Problem::NoRoute));
}

/// Guards against ending the wait on an answer to an older read: one that was on its way
/// during the pause doesn't show later changes.
#[test]
fn an_answer_of_before_the_pause_does_not_end_the_wait() {
    let mut router = Router::new(open_group("g1", [1, 2, 3]));
    let paused = ask_after_pause(&mut router, "/stream/x");
    router.take_effects();
    router.tell(DirectEvent::RoutingChecked { read_number: 0 });
    let runs = |e: &DirectEffect| matches!(e, DirectEffect::Run(_));
    assert!(!router.take_effects().iter().any(runs));
    finish_read(&mut router, &paused);
    assert!(router.take_effects().iter().any(runs));
}

/// Requests must not wait for ever if the store is unreachable as well.
#[test]
fn callers_are_served_by_the_routing_as_known_where_it_cannot_be_read() {
    let mut router = Router::new(open_group("g1", [1, 2, 3]));
    ask_after_pause(&mut router, "/stream/x");
    router.effects.clear();
    router.advance_ms(1_100);
    let unchecked = |e: &Effect| matches!(e, Effect::Log(n) if n.code == LogCode::RoutingUnchecked);
    assert!(router.effects.iter().any(unchecked));
    let runs = |e: &DirectEffect| matches!(e, DirectEffect::Run(_));
    assert!(router.take_effects().iter().any(runs));
    let after = router.ask_for(request(2, "/stream/x"));
    assert!(after.iter().any(runs));
}

/// Ticks that come a little late don't count as a pause.
#[test]
fn short_delays_cause_no_read_of_the_routing() {
    let mut router = Router::new(open_group("g1", [1, 2, 3]));
    for _ in 0..10 {
        router.now += 200;
        router.feed(Event::Tick);
    }
    let reads = |e: &DirectEffect| matches!(e, DirectEffect::ReadRouting { .. });
    assert!(!router.take_effects().iter().any(reads));
}
