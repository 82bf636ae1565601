//! An orderly stop. Found by hunts: dop-brno mix 929573407156, LOST.

use runrail::logic::direct::{DirectEffect, Problem, RunPart};
use runrail::logic::{Effect, Event};

use crate::fixture::{open_group, piece, problem, run, Router};

fn ended(router: &Router) -> usize {
    let exits = router.done.iter().filter(|e| **e == Effect::Exit);
    exits.count()
}

#[test]
fn callers_are_taken_until_the_doors_close_then_told_to_come_back() {
    let mut router = Router::new(open_group("g", [1, 2, 3]));
    router.take();
    router.feed(Event::Stop);
    assert!(router.take().contains(&DirectEffect::Ready(false)));
    router.pass(2_000);
    let early = run(&router.ask(1, "/stream/x"));
    router.part(early.run, RunPart::Head);
    let mut seen = Vec::new();
    for n in 1..12 {
        router.pass(100);
        seen.extend(router.part(early.run, piece(n)));
    }
    assert!(seen.contains(&DirectEffect::CloseDoors));
    let late = router.ask(2, "/stream/x");
    assert!(
        matches!(problem(&late), Some(Problem::NotRun(_))),
        "{late:?}"
    );
    router.pass(200);
    assert_eq!(ended(&router), 0, "a stream is still being served");
    router.tell(runrail::logic::direct::DirectEvent::Part {
        run: early.run,
        part: RunPart::End,
    });
    router.pass(40);
    assert_eq!(ended(&router), 1);
    router.pass(400);
    assert_eq!(ended(&router), 1, "it ends once");
}

#[test]
fn a_stop_ends_before_the_grace_does() {
    let mut router = Router::new(open_group("g", [1, 2, 3]));
    router.feed(Event::Stop);
    let sent = run(&router.ask(1, "/stream/x"));
    for n in 1..80 {
        router.pass(100);
        router.part(sent.run, crate::fixture::piece(n));
    }
    assert!(router.state().ending == runrail::logic::direct::EndStage::Over);
}

/// Such a caller was read and would find its connection closed.
#[test]
fn a_stop_answers_those_that_wait_for_a_router_which_knows_nothing_yet() {
    let mut router = Router::bare();
    router.feed(Event::Stop);
    router.pass(2_900);
    router.ask(1, "/stream/x");
    router.pass(400);
    assert_eq!(ended(&router), 0, "it waits");
    router.pass(1_000);
    assert_eq!(ended(&router), 1);
    let told = problem(&router.take());
    assert!(matches!(told, Some(Problem::NotYet(_))), "{told:?}");
}
