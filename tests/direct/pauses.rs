//! A process that was paused, or kept busy, for a while.

use std::sync::Arc;

use runrail::logic::direct::{DirectEffect, DirectEvent, Problem};
use runrail::logic::{Effect, Event, NoteCode};

use crate::fixture::{open_group, problem, request, routing, Router};

/// A pause after which what was read before may be too old.
const PAUSE: u64 = 2_000;

/// A request arrives at a router that was paused, whose routing is read anew only later.
fn asks_after_pause(router: &mut Router, path: &str) -> Vec<DirectEffect> {
    router.checks = false;
    router.now += PAUSE;
    router.ask(1, path)
}

/// What was read after the pause.
fn checked(router: &mut Router, of: &[DirectEffect]) {
    let asked = of.iter().find_map(|e| match e {
        DirectEffect::ReadRouting { asked } => Some(*asked),
        _ => None,
    });
    let asked = asked.expect("the routing is read anew");
    router.tell(DirectEvent::RoutingChecked { asked });
}

/// A planner whose look took seconds refused callers by the routing that it had before:
/// the change lay in its socket.
#[test]
fn a_router_that_was_paused_reads_the_routing_before_it_answers() {
    let mut router = Router::new(open_group("g1", [1, 2, 3]));
    let paused = asks_after_pause(&mut router, "/new/x");
    assert_eq!(problem(&paused), None);
    router.take();
    let mut newer = routing(2);
    let mut route = newer
        .route("a.example", "/safe/x")
        .expect("a route")
        .as_ref()
        .clone();
    route.prefix = "/new/".into();
    newer.add_route("a.example", route);
    router.tell(DirectEvent::Routing(Arc::new(newer)));
    checked(&mut router, &paused);
    assert_ne!(problem(&router.take()), Some(Problem::NoRoute));
}

/// An answer that was on its way during the pause shows nothing of the time since.
#[test]
fn an_answer_of_before_the_pause_does_not_end_the_wait() {
    let mut router = Router::new(open_group("g1", [1, 2, 3]));
    let paused = asks_after_pause(&mut router, "/stream/x");
    router.take();
    router.tell(DirectEvent::RoutingChecked { asked: 0 });
    let runs = |e: &DirectEffect| matches!(e, DirectEffect::Run(_));
    assert!(!router.take().iter().any(runs));
    checked(&mut router, &paused);
    assert!(router.take().iter().any(runs));
}

/// A store that is away as well must not stop the fleet.
#[test]
fn callers_are_served_by_the_routing_as_known_where_it_cannot_be_read() {
    let mut router = Router::new(open_group("g1", [1, 2, 3]));
    asks_after_pause(&mut router, "/stream/x");
    router.done.clear();
    router.pass(1_100);
    let told = |e: &Effect| matches!(e, Effect::Note(n) if n.code == NoteCode::RoutingUnchecked);
    assert!(router.done.iter().any(told));
    let runs = |e: &DirectEffect| matches!(e, DirectEffect::Run(_));
    assert!(router.take().iter().any(runs));
    let after = router.ask_for(request(2, "/stream/x"));
    assert!(after.iter().any(runs));
}

/// Ticks that are a little late are no pause.
#[test]
fn short_delays_read_nothing_anew() {
    let mut router = Router::new(open_group("g1", [1, 2, 3]));
    for _ in 0..10 {
        router.now += 200;
        router.feed(Event::Tick);
    }
    let reads = |e: &DirectEffect| matches!(e, DirectEffect::ReadRouting { .. });
    assert!(!router.take().iter().any(reads));
}
