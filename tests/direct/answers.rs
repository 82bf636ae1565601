//! Answers, retries and resumed streams.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

use runrail::logic::direct::crashes::{Crash, CrashRecord, CrashReport};
use runrail::logic::direct::{DirectEffect, DirectEvent, PeerMessage, Problem, RunPart};
use runrail::types::InstanceId;
use testkit::direct::{call, logs, start_routers, Standin};

use crate::fixture::{addr, open_group, piece, plain, problem, request, run, Router};

fn two_groups() -> Router {
    let mut entries = open_group("g", [1, 2, 3]);
    entries.extend(open_group("h", [4, 5, 6]));
    Router::new(entries)
}

#[test]
fn a_broken_stream_goes_on_at_another_head_and_no_event_comes_twice() {
    let mut router = two_groups();
    let first = run(&router.ask(1, "/stream/x"));
    assert_eq!(router.part(first.run, RunPart::Head).len(), 1);
    router.part(first.run, piece(1));
    router.part(first.run, piece(2));
    let second = run(&router.part(first.run, RunPart::Broken));
    assert_ne!(second.to, first.to);
    assert_eq!(second.last_event, Some(2));
    let head = router.part(second.run, RunPart::Head);
    assert!(head.is_empty(), "the caller already has a head: {head:?}");
    assert!(router.part(second.run, piece(2)).is_empty());
    assert_eq!(router.part(second.run, piece(3)).len(), 1);
    let end = router.part(second.run, RunPart::End);
    assert_eq!(end, vec![DirectEffect::EndStream(1)]);
}

#[test]
fn parts_of_an_ended_run_change_nothing() {
    let mut router = two_groups();
    let first = run(&router.ask(1, "/stream/x"));
    router.part(first.run, RunPart::Head);
    router.part(first.run, RunPart::Broken);
    assert!(router.part(first.run, piece(1)).is_empty());
    assert!(router.part(first.run, RunPart::End).is_empty());
}

#[test]
fn what_may_not_be_repeated_is_sent_again_only_where_it_did_not_run() {
    let mut router = Router::new(vec![plain(1), plain(2)]);
    let first = run(&router.ask(1, "/once/x"));
    assert!(
        first.avoid_stale,
        "no connection that the endpoint may be closing"
    );
    let refused = RunPart::Complete {
        status: 503,
        not_run: true,
    };
    let second = run(&router.part(first.run, refused));
    assert_ne!(second.to, first.to);
    let end = router.part(second.run, RunPart::Broken);
    assert_eq!(problem(&end), Some(Problem::Unknown), "it may have run");
}

#[test]
fn an_endpoints_own_failure_is_passed_on_where_nothing_may_be_repeated() {
    let mut router = Router::new(vec![plain(1), plain(2)]);
    let failed = |not_run| RunPart::Complete {
        status: 500,
        not_run,
    };
    let once = run(&router.ask(1, "/once/x"));
    let passed = router.part(once.run, failed(false));
    assert!(matches!(passed[..], [DirectEffect::PassAnswer { .. }]));
    let safe = run(&router.ask(2, "/safe/x"));
    let again = run(&router.part(safe.run, failed(false)));
    assert_ne!(again.to, safe.to);
}

#[test]
fn a_caller_that_leaves_ends_its_run_at_once() {
    let mut router = two_groups();
    let sent = run(&router.ask(1, "/stream/x"));
    router.tell(DirectEvent::CallerGone(1));
    assert_eq!(router.take_effects(), vec![DirectEffect::Cancel(sent.run)]);
}

#[test]
fn a_stream_that_has_begun_is_broken_off_at_its_time() {
    let mut router = two_groups();
    let begun = run(&router.ask(1, "/stream/x"));
    router.part(begun.run, RunPart::Head);
    router.advance_ms(5_100);
    assert!(router
        .take_effects()
        .contains(&DirectEffect::AbortStream(1)));
}

/// Guards against a false "not run": the endpoint may have begun to run the request.
#[test]
fn a_request_that_was_sent_ends_at_its_time_and_nobody_says_that_it_has_not_run() {
    for path in ["/stream/x", "/once/x", "/safe/x"] {
        let mut router = two_groups();
        router.change("p1", Some(plain(1).1));
        router.ask(1, path);
        router.advance_ms(4_960);
        assert_eq!(
            problem(&router.take_effects()),
            None,
            "{path}: it may still answer"
        );
        router.advance_ms(60);
        assert_eq!(
            problem(&router.take_effects()),
            Some(Problem::TimedOut),
            "{path}"
        );
    }
}

/// Guards against a false "not run" for a request whose two runs both broke off. Its caller
/// may send it again in any case.
#[test]
fn a_stream_that_two_heads_have_lost_is_no_request_that_has_not_run() {
    let mut router = two_groups();
    let first = run(&router.ask(1, "/stream/x"));
    let second = run(&router.part(first.run, RunPart::Broken));
    let answer = problem(&router.part(second.run, RunPart::Broken));
    assert_eq!(answer, Some(Problem::Unknown));
}

/// Guards against callers that get a failure of the router's in place of their endpoint's, which was
/// dropped before it was certain that a retry is left.
#[test]
fn a_failure_of_an_endpoint_reaches_its_caller_if_no_retry_is_left() {
    let mut router = Router::new(vec![plain(1), plain(2)]);
    router.state().retries_from = None;
    let first = run(&router.ask(1, "/safe/x"));
    let failure = RunPart::Complete {
        status: 500,
        not_run: false,
    };
    let effects = router.part(first.run, failure);
    assert_eq!(problem(&effects), None);
    let pass = DirectEffect::PassAnswer {
        request: 1,
        run: first.run,
    };
    assert_eq!(effects, [pass]);
}

/// Guards against callers that get a failure of the router's in place of their endpoint's, which was
/// dropped before it was certain that another endpoint answers.
#[test]
fn a_failure_of_an_endpoint_reaches_its_caller_if_no_other_one_answers() {
    let failures = [
        RunPart::Broken,
        RunPart::NotSent { refused: true },
        RunPart::Complete {
            status: 503,
            not_run: true,
        },
    ];
    for failure in failures {
        let mut router = Router::new(vec![plain(1), plain(2)]);
        let mut sent = run(&router.ask(1, "/safe/x"));
        let own_failure = RunPart::Complete {
            status: 500,
            not_run: false,
        };
        let mut effects = router.part(sent.run, own_failure);
        let kept = DirectEffect::KeepAnswer {
            request: 1,
            run: sent.run,
        };
        assert_eq!(effects[0], kept);
        let mut ended = false;
        for _ in 0..300 {
            assert_eq!(problem(&effects), None, "{failure:?}");
            ended |= effects.contains(&DirectEffect::PassKeptAnswer(1));
            if effects.iter().any(|e| matches!(e, DirectEffect::Run(_))) {
                sent = run(&effects);
                effects = router.part(sent.run, failure.clone());
            } else {
                router.advance_ms(20);
                effects = router.take_effects();
            }
        }
        assert!(ended, "{failure:?}");
    }
}

/// Guards against the same where the caller's time ends before another endpoint has answered.
#[test]
fn a_failure_of_an_endpoint_reaches_its_caller_if_no_other_one_answers_in_time() {
    let mut router = Router::new(vec![plain(1), plain(2)]);
    let sent = run(&router.ask(1, "/safe/x"));
    let own_failure = RunPart::Complete {
        status: 500,
        not_run: false,
    };
    router.part(sent.run, own_failure);
    router.advance_ms(5_100);
    let effects = router.take_effects();
    assert_eq!(problem(&effects), None);
    assert!(effects.contains(&DirectEffect::PassKeptAnswer(1)));
}

/// The same with a real process: the answer comes with its status and body.
#[test]
fn a_caller_gets_the_body_of_the_only_failure_that_came() {
    let dir = tempfile::tempdir().expect("a folder");
    let standin = Standin::start(3, 2);
    standin.world().list_at("p0", start_failing(FAILURE));
    let routers = start_routers(&standin, &[standin.store; 2], dir.path());
    standin.kill("p1");
    let mut own = 0;
    for n in 0..8 {
        let answer = call(routers[0].callers, "POST", "/safe/x", &format!("f{n}"));
        let answer = answer.expect("an answer");
        own += usize::from(answer.status == 500 && answer.body == FAILURE);
        assert_ne!(answer.status, 502, "{}", logs(dir.path()));
    }
    assert!(own > 0, "{}", logs(dir.path()));
}

/// Guards against callers that get no answer as nothing was kept: long failures aren't, as they would keep
/// out the answers of other endpoints.
#[test]
fn a_caller_gets_an_answer_where_the_only_failure_is_too_long_to_keep() {
    const FAILURE_BYTES: usize = 1 << 20;
    let dir = tempfile::tempdir().expect("a folder");
    let standin = Standin::start(3, 2);
    let failure = String::from_utf8(vec![b'x'; FAILURE_BYTES]).expect("a text");
    let failing = start_failing(failure.leak());
    standin.world().list_at("p0", failing);
    let routers = start_routers(&standin, &[standin.store; 2], dir.path());
    standin.kill("p1");
    let statuses: Vec<_> = (0..8)
        .map(|n| {
            let answer = call(routers[0].callers, "POST", "/safe/x", &format!("l{n}"));
            answer.map(|a| a.status)
        })
        .collect();
    let is_failure = |s: &Option<u16>| matches!(s, Some(500 | 502));
    assert!(statuses.iter().all(is_failure), "{statuses:?}");
    assert!(statuses.contains(&Some(502)), "none was too long");
}

const FAILURE: &str = "a failure of its own";

/// Starts an endpoint that answers each request with a failure; returns its address.
fn start_failing(failure: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for caller in listener.incoming().flatten() {
            std::thread::spawn(move || fail_all(caller, failure));
        }
    });
    addr
}

fn fail_all(caller: TcpStream, failure: &str) {
    let mut writer = caller.try_clone().expect("a connection");
    let mut attempt = String::new();
    for line in BufReader::new(caller).lines().map_while(Result::ok) {
        if line.to_ascii_lowercase().starts_with("x-attempt-id:") {
            attempt.clone_from(&line);
        }
        if line.is_empty() {
            let length = failure.len();
            let answer = format!(
                "HTTP/1.1 500 Failed\r\n{attempt}\r\nContent-Length: {length}\r\n\r\n{failure}"
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

#[test]
fn where_nobody_serves_a_model_the_caller_hears_at_once_when_to_come_back() {
    let mut router = Router::new(Vec::new());
    let answer = problem(&router.ask(1, "/stream/x"));
    let third = 5_000 / 3;
    assert!(
        matches!(answer, Some(Problem::NotRun(ms)) if ms <= third && ms >= third / 2),
        "{answer:?}"
    );
}

#[test]
fn streams_of_a_silent_head_move_after_four_times_the_silence_limit() {
    let mut router = two_groups();
    let first = run(&router.ask(1, "/stream/x"));
    router.part(first.run, RunPart::Head);
    router.part(first.run, piece(1));
    router.advance_ms(700);
    let soon = router.take_effects();
    assert!(
        !soon.contains(&DirectEffect::Cancel(first.run)),
        "it may be slow"
    );
    router.advance_ms(400);
    let second = run(&router.take_effects());
    assert_eq!(second.last_event, Some(1));
    let effects = router.part(second.run, piece(2));
    assert!(effects.contains(&DirectEffect::Cancel(first.run)));
}

#[test]
fn a_stream_stays_with_a_silent_head_where_nobody_else_would_take_it() {
    let mut router = Router::new(open_group("g", [1, 2, 3]));
    let first = run(&router.ask(1, "/stream/x"));
    router.part(first.run, RunPart::Head);
    router.advance_ms(1_500);
    assert!(!router.take_effects().iter().any(is_end));
    assert_eq!(router.part(first.run, piece(1)).len(), 1);
}

/// Whether an effect takes a stream from its endpoint, or ends it for its caller.
fn is_end(effect: &DirectEffect) -> bool {
    matches!(
        effect,
        DirectEffect::Cancel(_) | DirectEffect::AbortStream(_)
    )
}

/// Guards against a stream that is cut although its silent head would have gone on: a router that was
/// restarted has no retries to spend in its first window, and found out after it had left the head.
#[test]
fn a_stream_stays_with_a_silent_head_where_no_retry_is_left() {
    let mut router = two_groups();
    router.state().retries_from = None;
    let first = run(&router.ask(1, "/stream/x"));
    router.part(first.run, RunPart::Head);
    router.part(first.run, piece(1));
    router.advance_ms(1_500);
    assert!(!router.take_effects().iter().any(is_end));
    assert_eq!(router.part(first.run, piece(2)).len(), 1);
}

/// Guards against streams that are cut as a silent head has more of them than the retry budget moves.
#[test]
fn of_many_streams_at_a_silent_head_those_beyond_the_retry_budget_stay() {
    const STREAMS: u64 = 40;
    let mut router = Router::new(open_group("g", [1, 2, 3]));
    let heads: Vec<_> = (0..STREAMS)
        .map(|id| run(&router.ask(id, "/stream/x")))
        .collect();
    for head in &heads {
        router.part(head.run, RunPart::Head);
        router.part(head.run, piece(1));
    }
    for (id, entry) in open_group("h", [4, 5, 6]) {
        router.change(id.as_str(), Some(entry));
    }
    router.advance_ms(1_500);
    let effects = router.take_effects();
    let moved: Vec<_> = effects
        .iter()
        .filter_map(|e| match e {
            DirectEffect::Run(run) => Some(run.request),
            _ => None,
        })
        .collect();
    assert!((1..STREAMS as usize).contains(&moved.len()), "{moved:?}");
    assert!(!effects.iter().any(is_end), "{effects:?}");
    for head in &heads {
        let effects = router.part(head.run, piece(2));
        let passed = |e: &DirectEffect| matches!(e, DirectEffect::PassEvent { .. });
        assert!(effects.iter().any(passed), "request {}", head.request);
        // One that was moved has a run less now; what stays has its only one.
        let ends = effects.iter().filter(|e| is_end(e)).count();
        assert_eq!(ends, usize::from(moved.contains(&head.request)));
    }
}

/// Guards against a stream that is cut as its request was at two crashes: it isn't sent again, but its
/// silent head may go on.
#[test]
fn a_stream_that_may_not_be_sent_again_stays_with_a_silent_head() {
    let mut router = two_groups();
    let asked = request(1, "/stream/x");
    let name = asked.fingerprint.for_account(Some("ann"));
    let first = run(&router.ask_for(asked));
    router.part(first.run, RunPart::Head);
    router.part(first.run, piece(1));
    let crash = |n: u64| {
        CrashRecord::of(Crash {
            endpoint: InstanceId::new(&format!("c{n}")),
            born: None,
        })
    };
    let mut record = crash(1);
    record.merge(&crash(2));
    router.tell(DirectEvent::PeerMessage {
        from: addr(2_000),
        message: PeerMessage::Crashes(vec![CrashReport {
            cause: name,
            record,
        }]),
    });
    router.advance_ms(1_500);
    assert!(!router.take_effects().iter().any(is_end));
    assert_eq!(router.part(first.run, piece(2)).len(), 1);
}

#[test]
fn an_endpoint_that_leaves_gets_nothing_new() {
    let mut entries = open_group("g", [1, 2, 3]);
    entries[0].1.leaving = true;
    let mut router = Router::new(entries);
    let mut effects = router.ask(1, "/stream/x");
    router.advance_ms(1_300);
    effects.extend(router.take_effects());
    let refusals = effects.iter().filter(|e| {
        matches!(
            e,
            DirectEffect::Refuse {
                problem: Problem::NotRun(_),
                ..
            }
        )
    });
    assert_eq!(refusals.count(), 1);
    assert!(!effects.iter().any(|e| matches!(e, DirectEffect::Run(_))));
}

#[test]
fn retries_keep_to_a_share_of_the_requests() {
    let mut router = Router::new((1..30).map(plain).collect());
    let mut again = 0;
    for id in 0..400 {
        let sent = run(&router.ask(id, "/safe/x"));
        let failed = RunPart::Complete {
            status: 500,
            not_run: false,
        };
        let effects = router.part(sent.run, failed);
        again += usize::from(effects.iter().any(|e| matches!(e, DirectEffect::Run(_))));
        router.advance_ms(20);
    }
    // 200 per 1,000 requests and a sixteenth of 160 retries, in any 10 s.
    assert!((60..=115).contains(&again), "{again}");
}

/// Guards against a head that stays unused: its group formed again while this router counted
/// the head as silent, and the head got no more requests.
#[test]
fn a_head_that_was_silent_is_used_again_in_its_next_group() {
    let mut router = Router::new(open_group("g", [1, 2, 3]));
    let first = run(&router.ask(1, "/stream/x"));
    router.part(first.run, RunPart::Head);
    router.part(first.run, piece(1));
    router.advance_ms(400);
    router.take_effects();
    let (id, mut entry) = open_group("h", [1, 2, 3]).remove(0);
    if let Some(seat) = &mut entry.seat {
        seat.epoch = 9;
    }
    router.change(id.as_str(), Some(entry));
    router.advance_ms(40);
    let moved = run(&router.take_effects());
    assert_eq!((moved.to.as_str(), moved.last_event), ("e1", Some(1)));
}

#[test]
fn a_silent_head_without_work_here_is_tried_again_after_a_while() {
    let mut router = two_groups();
    let first = run(&router.ask(1, "/stream/x"));
    router.tell(DirectEvent::CallerGone(1));
    router
        .state()
        .endpoints
        .values_mut()
        .for_each(|v| v.silent_since = Some(1_000));
    assert!(!router
        .ask(2, "/stream/x")
        .iter()
        .any(|e| matches!(e, DirectEffect::Run(_))));
    router.advance_ms(1_100);
    assert!(!run(&router.ask(3, "/stream/x")).to.as_str().is_empty());
    assert!(first.run > 0);
}
