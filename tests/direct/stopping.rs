//! Orderly shutdown of a router: no request that was accepted loses its answer.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use nix::sys::signal::Signal;
use runrail::logic::direct::{DirectEffect, DirectEvent, Problem, RunPart};
use runrail::logic::{Effect, Event};
use testkit::direct::{fleet, logs, until, CallerRequest};

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
    router.tell(DirectEvent::RunPart {
        run: accepted.run,
        part: RunPart::End,
    });
    router.advance_ms(40);
    assert_eq!(ended(&router), 1);
    router.advance_ms(400);
    assert_eq!(ended(&router), 1, "it ends once");
}

/// Guards against a request that is taken though its caller sent it 3 s after SIGTERM, between two ticks,
/// and is cut at the exit.
#[test]
fn a_request_that_is_read_late_is_refused_before_the_tick_that_closes_the_listener() {
    let mut router = Router::new(open_group("g", [1, 2, 3]));
    router.advance_ms(100);
    router.feed(Event::Stop);
    router.advance_ms(2_400);
    run(&router.ask(1, "/stream/x"));
    router.now += 610;
    let late = router.ask(2, "/stream/x");
    assert!(
        matches!(problem(&late), Some(Problem::NotRun(_))),
        "{late:?}"
    );
}

/// Guards against a request that is taken 3 s after SIGTERM because the signal was noticed late.
#[test]
fn a_signal_that_is_noticed_late_counts_from_before_the_stall() {
    let mut router = Router::new(open_group("g", [1, 2, 3]));
    router.advance_ms(100);
    router.now += 700;
    router.feed(Event::Tick);
    router.feed(Event::Stop);
    router.advance_ms(2_200);
    let late = router.ask(1, "/stream/x");
    assert!(
        matches!(problem(&late), Some(Problem::NotRun(_))),
        "{late:?}"
    );
}

/// Guards against requests that are taken late in a long grace time: what is left of it doesn't matter
/// to a balancer that has long sent its callers elsewhere.
#[test]
fn a_long_grace_time_doesnt_accept_callers_for_longer() {
    let mut router = Router::new(open_group("g", [1, 2, 3]));
    router.state().params.grace_ms = 20_000;
    router.advance_ms(100);
    router.feed(Event::Stop);
    router.advance_ms(2_600);
    let late = router.ask(1, "/stream/x");
    assert!(
        matches!(problem(&late), Some(Problem::NotRun(_))),
        "{late:?}"
    );
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

/// Guards against a request that an endpoint hasn't answered when the process exits, and whose
/// connection closes without an answer.
#[test]
fn a_request_without_an_answer_gets_a_final_one_before_the_exit() {
    let mut router = Router::new(open_group("g", [1, 2, 3]));
    let mut routing = crate::fixture::routing(2);
    for route in routing.routes.values_mut().flatten() {
        Arc::make_mut(route).timeout_ms = 20_000;
    }
    router.tell(DirectEvent::Routing(Arc::new(routing)));
    router.advance_ms(100);
    router.feed(Event::Stop);
    let mut request = crate::fixture::request(1, "/stream/x");
    request.wait_ms = Some(20_000);
    run(&router.ask_for(request));
    router.advance_ms(7_900);
    assert_eq!(ended(&router), 1);
    let answered_at = position(&router, |e| {
        matches!(e, Effect::Direct(DirectEffect::Refuse { request: 1, .. }))
    });
    let exit_at = position(&router, |e| *e == Effect::Exit);
    assert!(answered_at.is_some() && answered_at < exit_at);
}

fn position(router: &Router, is_it: impl Fn(&Effect) -> bool) -> Option<usize> {
    router.effects.iter().position(is_it)
}

/// Guards against a request that is held until the routing is known and gets no answer at
/// shutdown: its connection would just close.
#[test]
fn a_shutdown_answers_requests_held_until_the_routing_is_known() {
    let mut router = Router::bare();
    router.feed(Event::Stop);
    router.advance_ms(2_400);
    router.ask(1, "/stream/x");
    router.advance_ms(400);
    assert_eq!(ended(&router), 0, "it waits");
    router.advance_ms(1_000);
    assert_eq!(ended(&router), 1);
    let answer = problem(&router.take_effects());
    assert!(matches!(answer, Some(Problem::NotYet(_))), "{answer:?}");
}

/// Guards against an answer that is cut at shutdown though grace time is left: the process ended 0.4 s
/// after the last answer was handed to its connection, whether its caller had it or not.
#[test]
fn a_caller_that_reads_late_gets_its_whole_answer_before_the_process_ends() {
    const ANSWER_BYTES: usize = 12 * 1024 * 1024;
    let dir = tempfile::tempdir().expect("a folder");
    let (standin, mut routers) = fleet(3, dir.path());
    standin.world().padding = ANSWER_BYTES;
    let request = CallerRequest {
        path: "/safe/x",
        attempt: "late",
        ..CallerRequest::default()
    };
    let mut caller = TcpStream::connect(routers[0].callers).expect("a connection");
    caller
        .write_all(request.to_string().as_bytes())
        .expect("a request");
    let is_answered =
        || logs(dir.path()).contains("E642 request answered in full request=\"late\"");
    until("it is answered", Duration::from_secs(10), is_answered);
    routers[0].signal(Signal::SIGTERM);
    std::thread::sleep(Duration::from_millis(2_500));
    let mut answer = Vec::new();
    let ended = caller.read_to_end(&mut answer);
    assert!(
        ended.is_ok() && answer.len() > ANSWER_BYTES,
        "{ended:?}: {} bytes",
        answer.len()
    );
    until("the process ends", Duration::from_secs(2), || {
        routers[0].child.try_wait().is_ok_and(|s| s.is_some())
    });
}
