//! Orderly shutdown of a router: no request that was accepted loses its answer.

use runrail::logic::direct::{DirectEffect, Problem, RunPart};
use runrail::logic::{Effect, Event};

use crate::fixture::{open_group, piece, problem, run, Router};

fn ended(router: &Router) -> usize {
    let exits = router.effects.iter().filter(|e| **e == Effect::Exit);
    exits.count()
}

#[test]
fn callers_are_accepted_until_the_listener_closes_and_then_refused() {
    let mut router = Router::new(open_group("g", [1, 2, 3]));
    router.take_effects();
    router.feed(Event::Stop);
    assert!(router.take_effects().contains(&DirectEffect::Ready(false)));
    router.advance_ms(2_000);
    let accepted = run(&router.ask(1, "/stream/x"));
    router.part(accepted.run, RunPart::Head);
    let mut effects = Vec::new();
    for n in 1..12 {
        router.advance_ms(100);
        effects.extend(router.part(accepted.run, piece(n)));
    }
    assert!(effects.contains(&DirectEffect::StopAccepting));
    let refused = router.ask(2, "/stream/x");
    assert!(
        matches!(problem(&refused), Some(Problem::NotRun(_))),
        "{refused:?}"
    );
    router.advance_ms(200);
    assert_eq!(ended(&router), 0, "a stream is still being served");
    router.tell(runrail::logic::direct::DirectEvent::RunPart {
        run: accepted.run,
        part: RunPart::End,
    });
    router.advance_ms(40);
    assert_eq!(ended(&router), 1);
    router.advance_ms(400);
    assert_eq!(ended(&router), 1, "it ends once");
}

#[test]
fn a_shutdown_ends_before_the_grace_time() {
    let mut router = Router::new(open_group("g", [1, 2, 3]));
    router.feed(Event::Stop);
    let sent = run(&router.ask(1, "/stream/x"));
    for n in 1..80 {
        router.advance_ms(100);
        router.part(sent.run, crate::fixture::piece(n));
    }
    assert!(router.state().shutdown == runrail::logic::direct::ShutdownStage::Done);
}

/// Guards against a request that is held until the routing is known and gets no answer at
/// shutdown: its connection would just close.
#[test]
fn a_shutdown_answers_requests_held_until_the_routing_is_known() {
    let mut router = Router::bare();
    router.feed(Event::Stop);
    router.advance_ms(2_900);
    router.ask(1, "/stream/x");
    router.advance_ms(400);
    assert_eq!(ended(&router), 0, "it waits");
    router.advance_ms(1_000);
    assert_eq!(ended(&router), 1);
    let answer = problem(&router.take_effects());
    assert!(matches!(answer, Some(Problem::NotYet(_))), "{answer:?}");
}
