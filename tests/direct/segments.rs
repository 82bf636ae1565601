//! Prompt segments that crash the endpoints that run requests with them.

use std::time::Duration;

use runrail::logic::direct::crashes::{Crash, CrashRecord, CrashReport};
use runrail::logic::direct::{
    DirectEffect, DirectEvent, DirectRequest, Fingerprint, PeerMessage, Problem, RunPart,
};
use runrail::logic::router::StoreEntry;
use runrail::logic::Effect;
use runrail::types::{EndpointEntry, InstanceId};

use crate::fixture::{addr, is_blocked, open_group, piece, problem, request, run, Router};
use testkit::direct::{fleet, logs, send_sharing, until, Answer, EVENTS};

/// Number of crashes under one segment after which at most three more requests with it may reach
/// endpoints.
const MAX_CRASHES: usize = 5;

/// The members of open groups `g0` to `g19`.
fn open_groups() -> Vec<(InstanceId, EndpointEntry)> {
    let group = |n: u16| open_group(&format!("g{n}"), [10 * n, 10 * n + 1, 10 * n + 2]);
    (0..20).flat_map(group).collect()
}

/// A request of its own whose prompt has some segments.
fn with_segments(id: u64, segments: &[&str]) -> DirectRequest {
    DirectRequest {
        segments: segments
            .iter()
            .map(|s| Fingerprint::of_segment(s))
            .collect(),
        ..request(id, "/stream/x")
    }
}

fn sound(id: u64) -> DirectRequest {
    with_segments(id, &["common"])
}

fn fatal(id: u64) -> DirectRequest {
    with_segments(id, &["common", "fatal"])
}

/// Has a request answered in full.
fn serve(router: &mut Router, request: DirectRequest) {
    let sent = run(&router.ask_for(request));
    router.part(sent.run, RunPart::Head);
    router.part(sent.run, piece(1));
    router.part(sent.run, RunPart::End);
}

/// Sends a request that crashes each endpoint that begins it; returns the crashed endpoints and
/// the problem that its caller gets, if it is refused.
fn send_fatal(router: &mut Router, request: DirectRequest) -> (Vec<InstanceId>, Option<Problem>) {
    router.take_effects();
    router.tell(DirectEvent::Request(Box::new(request)));
    let mut crashed = Vec::new();
    loop {
        let effects = router.take_effects();
        let run = effects.iter().find_map(|e| match e {
            DirectEffect::Run(run) => Some((run.run, run.to.clone())),
            _ => None,
        });
        let Some((run, to)) = run else {
            return (crashed, problem(&effects));
        };
        crashed.push(to);
        for part in [RunPart::Head, RunPart::Broken] {
            router.tell(DirectEvent::RunPart { run, part });
        }
        router.answer_crash_probes();
    }
}

/// Passes what one router has sent on to another.
fn deliver(from: &mut Router, to: &mut Router) {
    for (_, message) in from.sent_messages() {
        let from = addr(2_000);
        to.tell(DirectEvent::PeerMessage { from, message });
    }
}

/// Two routers that know of each other; the first one is the planner.
fn two_routers() -> [Router; 2] {
    let names = ["r1", "r2"].map(InstanceId::new);
    let router = |own: usize, other: usize| {
        let mut router = Router::named(names[own].as_str(), &names, open_groups());
        router.store_entries = vec![StoreEntry {
            key: format!("runrail/router/{}", names[other]),
            value: addr(2_000 + other as u16).to_string(),
            revision: 1,
        }];
        router
    };
    [router(0, 1), router(1, 0)]
}

/// Lets a router know that it isn't the planner: the stand-in of the store grants each its lease.
fn revoke_lease(router: &mut Router) {
    router.state().plan.lease.fence = 0;
}

/// Guards against evidence that is kept under whole requests only: requests that share one segment
/// of their prompts, no two alike, would crash one endpoint after the other.
#[test]
fn a_segment_that_crashes_endpoints_is_refused_by_all_routers_whatever_else_a_request_holds() {
    let [mut first, mut second] = two_routers();
    let mut crashes = 0;
    let mut last = [None, None];
    for id in 0..12 {
        let (here, there) = match id % 2 {
            0 => (&mut first, &mut second),
            _ => (&mut second, &mut first),
        };
        revoke_lease(if id % 2 == 0 { there } else { here });
        serve(here, sound(100 + id));
        let (crashed, problem) = send_fatal(here, fatal(id));
        crashes += crashed.len();
        assert!(crashes <= MAX_CRASHES, "{crashes} crashes, request {id}");
        last[id as usize % 2] = problem;
        for gone in crashed {
            here.change(gone.as_str(), None);
            there.change(gone.as_str(), None);
        }
        here.advance_ms(400);
        deliver(here, there);
        there.advance_ms(400);
        deliver(there, here);
    }
    assert!(last.into_iter().all(is_blocked), "{last:?}");
    for router in [&mut first, &mut second] {
        serve(router, sound(200));
    }
}

/// What another router reports of a segment that was at some crashes, perhaps the last one alone.
fn report(segment: &str, crashes: &[u64], is_alone: bool) -> CrashReport {
    let mut record = CrashRecord::default();
    for (n, crash) in crashes.iter().enumerate() {
        let crash = Crash {
            endpoint: InstanceId::new(&format!("gone-{crash}")),
            born: None,
        };
        let is_last = n + 1 == crashes.len();
        record.merge(&CrashRecord::of_run(crash, 20, is_alone && is_last));
    }
    CrashReport {
        cause: Fingerprint::of_segment(segment),
        record: CrashRecord {
            is_segment: true,
            ..record
        },
    }
}

fn receive(router: &mut Router, reports: &[CrashReport]) {
    router.tell(DirectEvent::PeerMessage {
        from: addr(2_001),
        message: PeerMessage::Crashes(reports.to_vec()),
    });
}

/// The problem that the caller of a request gets, if it is refused.
fn refused(router: &mut Router, request: DirectRequest) -> Option<Problem> {
    problem(&router.ask_for(request))
}

const HELD: Option<Problem> = Some(Problem::NotRun(400));

/// Guards against refusing a segment for good that was at the same crashes as the fatal one by
/// chance: a request with it alone is tried, and the outcome tells them apart.
#[test]
fn a_harmless_segment_at_the_same_crashes_is_cleared_by_a_trial() {
    let mut router = Router::planner(open_groups());
    let reports = ["common", "fatal"].map(|s| report(s, &[1, 2, 3], false));
    receive(&mut router, &reports);
    assert_eq!(refused(&mut router, fatal(1)), HELD, "not to be told apart");
    let tried = run(&router.ask_for(sound(2)));
    assert_eq!(refused(&mut router, sound(3)), HELD, "one trial at a time");
    router.part(tried.run, RunPart::Head);
    router.part(tried.run, piece(1));
    assert_eq!(refused(&mut router, sound(4)), None);
    assert_eq!(send_fatal(&mut router, fatal(5)).0.len(), 1);
    let answer = refused(&mut router, fatal(6));
    assert!(is_blocked(answer), "{answer:?}");
    assert_eq!(refused(&mut router, sound(7)), None);
}

/// Guards against a segment that only the planner may clear staying held at all other routers, once
/// another one is known to have caused its crashes.
#[test]
fn a_segment_whose_crashes_another_one_has_caused_is_sent() {
    let mut router = Router::new(open_groups());
    revoke_lease(&mut router);
    receive(&mut router, &[report("rare", &[1, 2, 3], false)]);
    let rare = |id| with_segments(id, &["rare"]);
    assert_eq!(refused(&mut router, rare(1)), HELD);
    receive(&mut router, &[report("fatal", &[1, 2, 3, 4], true)]);
    assert_eq!(refused(&mut router, rare(2)), None);
    let answer = refused(&mut router, with_segments(3, &["rare", "fatal"]));
    assert!(is_blocked(answer), "{answer:?}");
}

/// Guards against a trial by each router, as requests with a held segment come to all of them and wait
/// for a head: at most three of them may reach endpoints in all.
#[test]
fn a_held_segment_is_tried_by_the_planner_only() {
    let mut planner = Router::planner(open_groups());
    let mut others: Vec<_> = (0..4).map(|_| Router::new(open_groups())).collect();
    for router in others.iter_mut().chain([&mut planner]) {
        receive(router, &[report("fatal", &[1, 2, 3], false)]);
        router.advance_ms(4_000);
    }
    let mut tried = 0;
    for id in 0..20 {
        for router in &mut others {
            revoke_lease(router);
            tried += usize::from(refused(router, fatal(id)).is_none());
        }
    }
    assert_eq!(tried, 0);
    assert_eq!(refused(&mut planner, fatal(1)), None);
    assert_eq!(refused(&mut planner, fatal(2)), HELD);
}

/// Delivers what one router has sent to another at the address `from`, and returns how many messages about
/// trials there were.
fn pass_trials(from: &mut Router, to: &mut Router, port: u16) -> usize {
    let is_trial =
        |m: &PeerMessage| matches!(m, PeerMessage::TrialAsked(_) | PeerMessage::TrialGranted(_));
    let messages = from.sent_messages();
    let messages: Vec<_> = messages.into_iter().filter(|(_, m)| is_trial(m)).collect();
    let count = messages.len();
    for (_, message) in messages {
        let from = addr(port);
        to.tell(DirectEvent::PeerMessage { from, message });
    }
    count
}

/// Guards against a segment that stays held because the planner gets no request with it, and against
/// trials at two routers at a time.
#[test]
fn another_router_tries_a_held_segment_by_the_leave_of_the_planner() {
    let names = ["r1", "r2", "r3"].map(InstanceId::new);
    let mut planner = Router::planner(open_groups());
    let mut others = ["r2", "r3"].map(|name| Router::named(name, &names, open_groups()));
    for router in others.iter_mut().chain([&mut planner]) {
        receive(router, &[report("shared", &[1, 2, 3], false)]);
        router.take_effects();
    }
    let shared = |id| with_segments(id, &["shared"]);
    for (n, router) in others.iter_mut().enumerate() {
        revoke_lease(router);
        assert_eq!(problem(&asked(router, shared(1))), HELD);
        assert_eq!(pass_trials(router, &mut planner, n as u16), 1, "asked");
        let granted = pass_trials(&mut planner, router, 900);
        assert_eq!(granted, usize::from(n == 0), "one at a time");
    }
    assert_eq!(refused(&mut planner, shared(2)), HELD, "it has granted one");
    let [first, second] = &mut others;
    let tried = run(&first.ask_for(shared(3)));
    assert_eq!(refused(first, shared(4)), HELD, "one request");
    assert_eq!(refused(second, shared(4)), HELD);
    first.part(tried.run, RunPart::Head);
    first.part(tried.run, piece(1));
    assert_eq!(refused(first, shared(5)), None, "cleared");
}

/// Guards against a sound segment that stays held for as long as the store is silent: no router can renew
/// the planner lease then, and nobody allowed trials.
#[test]
fn the_last_planner_allows_trials_while_no_router_can_hold_the_lease() {
    let names = ["r1", "r2"].map(InstanceId::new);
    let mut last = Router::planner(open_groups());
    let mut other = Router::named("r2", &names, open_groups());
    for router in [&mut last, &mut other] {
        receive(router, &[report("shared", &[1, 2, 3], false)]);
        router.take_effects();
    }
    last.state().plan.lease.valid_until = 0;
    revoke_lease(&mut other);
    let shared = |id| with_segments(id, &["shared"]);
    assert_eq!(problem(&asked(&mut other, shared(1))), HELD);
    assert_eq!(pass_trials(&mut other, &mut last, 0), 1, "asked");
    assert_eq!(pass_trials(&mut last, &mut other, 900), 1, "granted");
    run(&other.ask_for(shared(2)));
    assert_eq!(refused(&mut last, shared(3)), HELD, "it has granted one");
    last.advance_ms(2_500);
    last.state().plan.lease.valid_until = 0;
    assert_eq!(refused(&mut last, shared(4)), None, "its own");
}

/// Guards against a trial that begins long after it was granted, beside that of another router.
#[test]
fn a_granted_trial_has_to_begin_soon() {
    let names = ["r1", "r2"].map(InstanceId::new);
    let mut router = Router::named("r2", &names, open_groups());
    receive(&mut router, &[report("shared", &[1, 2, 3], false)]);
    revoke_lease(&mut router);
    let causes = vec![Fingerprint::of_segment("shared")];
    let grant = |causes| DirectEvent::PeerMessage {
        from: addr(2_000),
        message: PeerMessage::TrialGranted(causes),
    };
    router.tell(grant(causes.clone()));
    router.advance_ms(600);
    let shared = |id| with_segments(id, &["shared"]);
    assert_eq!(refused(&mut router, shared(1)), HELD);
    router.tell(grant(vec![Fingerprint::of_segment("another")]));
    assert_eq!(refused(&mut router, shared(2)), HELD);
    router.tell(grant(causes));
    assert_eq!(refused(&mut router, shared(3)), None);
}

/// Sends a request, and returns its effects without taking those that are sent to other routers.
fn asked(router: &mut Router, request: DirectRequest) -> Vec<DirectEffect> {
    router.tell(DirectEvent::Request(Box::new(request)));
    let effects = router.effects.iter().filter_map(|e| match e {
        Effect::Direct(effect) => Some(effect.clone()),
        _ => None,
    });
    effects.collect()
}

/// Guards against sending a request on after its segment was held, as the endpoint that had it didn't
/// run it.
#[test]
fn a_request_that_did_not_run_is_not_sent_again_once_its_segment_is_held() {
    let not_run = RunPart::Complete {
        status: 503,
        not_run: true,
    };
    for part in [not_run, RunPart::NotSent { refused: true }] {
        let mut router = Router::new(open_groups());
        let sent = run(&router.ask_for(fatal(1)));
        receive(&mut router, &[report("fatal", &[1, 2, 3], false)]);
        let effects = router.part(sent.run, part);
        let is_sent = effects.iter().any(|e| matches!(e, DirectEffect::Run(_)));
        assert!(!is_sent, "{effects:?}");
        let refusal = problem(&effects);
        assert!(matches!(refusal, Some(Problem::NotRun(_))), "{refusal:?}");
    }
}

/// Guards against a router that has just started and suspects segments that the others see answered
/// all the time.
#[test]
fn a_router_clears_the_segments_that_it_has_seen_answered_when_another_suspects_them() {
    let [mut first, mut second] = two_routers();
    serve(&mut first, sound(1));
    second.advance_ms(400);
    receive(&mut second, &[report("common", &[1, 2, 3], false)]);
    revoke_lease(&mut second);
    assert_eq!(refused(&mut second, sound(2)), HELD);
    receive(&mut first, &[report("common", &[1, 2, 3], false)]);
    first.advance_ms(20);
    deliver(&mut first, &mut second);
    assert_eq!(refused(&mut second, sound(3)), None);
}

/// Guards against a segment that is never suspected, as it was answered before it came to crash
/// endpoints, and against suspecting one that is answered all the time.
#[test]
fn a_segment_is_suspected_again_some_time_after_its_last_answer() {
    let mut router = Router::new(open_groups());
    serve(&mut router, fatal(1));
    send_fatal(&mut router, fatal(2));
    let crashes = |router: &mut Router| {
        let segment = Fingerprint::of_segment("fatal");
        router.state().crashes.table.counted_crashes(&segment)
    };
    assert_eq!(crashes(&mut router), 0);
    router.advance_ms(20_000);
    send_fatal(&mut router, fatal(3));
    assert_eq!(crashes(&mut router), 2);
}

/// Guards against crashing further endpoints while the evidence is still thin.
#[test]
fn requests_with_a_risky_segment_are_sent_one_at_a_time_and_not_again() {
    let mut router = Router::new(open_groups());
    serve(&mut router, sound(1));
    receive(&mut router, &[report("fatal", &[1, 2], false)]);
    let sent = run(&router.ask_for(fatal(2)));
    assert_eq!(refused(&mut router, fatal(3)), HELD);
    assert_eq!(refused(&mut router, sound(4)), None);
    let after = router.part(sent.run, RunPart::Broken);
    assert_eq!(problem(&after), Some(Problem::Unknown));
}

/// Guards against a segment that crashes endpoints again once all routers have started anew.
#[test]
fn a_router_that_starts_later_reads_which_segments_are_refused() {
    let stored = report("fatal", &[1, 2, 3, 4], true);
    let mut router = Router::bare();
    router.store_entries = vec![StoreEntry {
        key: format!("runrail/crashes/{}", stored.cause),
        value: serde_json::to_string(&stored).expect("text"),
        revision: 1,
    }];
    router.initialize(open_groups());
    router.advance_ms(400);
    let answer = refused(&mut router, fatal(1));
    assert!(is_blocked(answer), "{answer:?}");
    assert_eq!(refused(&mut router, sound(2)), None);
}

/// Guards against waiting requests that are sent after their segment was held.
#[test]
fn requests_that_wait_are_refused_once_their_segment_is_held() {
    let mut router = Router::new(open_group("g", [1, 2, 3]));
    for id in 100..148 {
        run(&router.ask_for(sound(id)));
    }
    assert_eq!(refused(&mut router, fatal(1)), None, "it waits");
    let resumed = DirectRequest {
        last_event: Some(3),
        ..fatal(2)
    };
    assert_eq!(refused(&mut router, resumed), None, "it waits");
    receive(&mut router, &[report("fatal", &[1, 2, 3], false)]);
    let effects = router.take_effects();
    let is_refusal = |e: &&DirectEffect| {
        let problem = problem(std::slice::from_ref(*e));
        matches!(problem, Some(Problem::NotRun(_)))
    };
    assert_eq!(effects.iter().filter(is_refusal).count(), 2, "{effects:?}");
}

fn is_whole(answer: &Option<Answer>) -> bool {
    let events = answer.as_ref().filter(|a| a.complete).map(Answer::events);
    events.is_some_and(|ids| ids.len() as u64 == EVENTS)
}

/// Guards against crashes without end by requests with one segment at real processes, and against
/// refusing the requests that share the other segments with them.
#[test]
fn processes_stop_sending_requests_with_a_segment_that_crashes_endpoints() {
    let dir = tempfile::tempdir().expect("a folder");
    let (standin, routers) = fleet(24, dir.path());
    let all = standin.alive().len();
    let crashes = || all - standin.alive().len();
    let mut sent = 0;
    let mut attempt = |router: usize, is_fatal: bool| {
        sent += 1;
        let attempt = format!("segment-{sent}");
        send_sharing(routers[router].callers, "c0de", &attempt, is_fatal)
    };
    until("sound requests are served", Duration::from_secs(20), || {
        (0..2).all(|n| is_whole(&attempt(n, false)))
    });
    let is_refused = |a: Option<Answer>| {
        a.is_some_and(|a| a.status == 503 && a.body.contains("crashes-endpoints"))
    };
    until("both routers refuse", Duration::from_secs(60), || {
        for n in 0..2 {
            attempt(n, false);
        }
        let refused: Vec<bool> = (0..2).map(|n| is_refused(attempt(n, true))).collect();
        refused == [true, true] || crashes() > MAX_CRASHES
    });
    let seen = crashes();
    assert!(seen <= MAX_CRASHES, "{seen}\n{}", logs(dir.path()));
    until("sound requests are served", Duration::from_secs(20), || {
        (0..2).all(|n| is_whole(&attempt(n, false)))
    });
    for n in 0..6 {
        assert!(is_refused(attempt(n % 2, true)));
    }
    assert_eq!(crashes(), seen, "{}", logs(dir.path()));
}
