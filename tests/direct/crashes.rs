//! Requests that crash the endpoints that run them.

use std::collections::BTreeSet;
use std::time::Duration;

use runrail::logic::direct::crashes::{
    Crash, CrashRecord, CrashReport, CrashTable, RecentlyServed, Verdict,
};
use runrail::logic::direct::{
    DirectEffect, DirectEvent, DirectRequest, EndpointReport, Fingerprint, PeerMessage,
    ProbeResult, Problem, RunPart,
};
use runrail::logic::router::{StoreCall, StoreChange, StoreEntry};
use runrail::logic::{Effect, Event};
use runrail::types::{EndpointEntry, InstanceId};

use crate::fixture::{addr, is_blocked, open_group, piece, problem, request, run, Router};
use testkit::direct::FATAL;
use testkit::direct::{fleet, logs, send, until};

/// Number of crashes from which on a request is refused.
const BLOCKING_CRASHES: usize = 3;

/// The members of open groups `g0` to `g9`.
fn open_groups() -> Vec<(InstanceId, EndpointEntry)> {
    let group = |n: u16| open_group(&format!("g{n}"), [10 * n, 10 * n + 1, 10 * n + 2]);
    (0..10).flat_map(group).collect()
}

/// A request that crashes endpoints: always the same content, under the given number.
fn fatal(id: u64) -> DirectRequest {
    DirectRequest {
        fingerprint: Fingerprint::of(&[b"fatal"]),
        ..request(id, "/stream/x")
    }
}

/// Sends a request that crashes each endpoint that begins it; returns the crashed endpoints.
fn send_fatal(router: &mut Router, request: DirectRequest) -> Vec<InstanceId> {
    router.take_effects();
    router.tell(DirectEvent::Request(Box::new(request)));
    let mut crashed = Vec::new();
    loop {
        let run = router.take_effects().into_iter().find_map(|e| match e {
            DirectEffect::Run(run) => Some((run.run, run.to)),
            _ => None,
        });
        let Some((run, to)) = run else {
            return crashed;
        };
        crashed.push(to);
        router.tell(DirectEvent::RunPart {
            run,
            part: RunPart::Head,
        });
        router.tell(DirectEvent::RunPart {
            run,
            part: RunPart::Broken,
        });
        router.answer_crash_probes();
    }
}

/// Guards against crashes being counted per attempt only: the request would crash one endpoint
/// after the other for as long as its caller sends it again.
#[test]
fn a_request_that_has_crashed_three_endpoints_is_not_sent_again() {
    let mut router = Router::new(open_groups());
    let mut crashes = 0;
    for id in 0..6 {
        crashes += send_fatal(&mut router, fatal(id)).len();
        router.advance_ms(200);
    }
    assert_eq!(crashes, BLOCKING_CRASHES);
}

/// Guards against routers counting only the crashes of their own runs: the request would crash
/// up to the limit at each router.
#[test]
fn a_request_that_has_crashed_three_endpoints_is_sent_by_no_router() {
    let routers = ["r1", "r2"].map(InstanceId::new);
    let mut first = Router::named("r1", &routers, open_groups());
    let mut second = Router::named("r2", &routers, open_groups());
    let store_entry = |name: &str, port: u16| StoreEntry {
        key: format!("runrail/router/{name}"),
        value: addr(port).to_string(),
        revision: 1,
    };
    first.store_entries = vec![store_entry("r2", 2_001)];
    second.store_entries = vec![store_entry("r1", 2_000)];
    let mut crashes = 0;
    for id in 0..6 {
        let (here, there) = if id % 2 == 0 {
            (&mut first, &mut second)
        } else {
            (&mut second, &mut first)
        };
        let crashed = send_fatal(here, fatal(id));
        crashes += crashed.len();
        for gone in crashed {
            here.change(gone.as_str(), None);
            there.change(gone.as_str(), None);
        }
        here.advance_ms(400);
        for (_, message) in here.sent_messages() {
            let from = addr(2_000);
            there.tell(DirectEvent::PeerMessage { from, message });
        }
    }
    assert_eq!(crashes, BLOCKING_CRASHES);
}

/// Sends a request; returns the problem that its caller gets, if it is refused.
fn refused(router: &mut Router, request: DirectRequest) -> Option<Problem> {
    router.take_effects();
    router.tell(DirectEvent::Request(Box::new(request)));
    problem(&router.take_effects())
}

/// While one copy of a risky request is in flight, another is refused as not run; once the
/// request is blocked, the refusal is final.
#[test]
fn copies_of_a_risky_request_are_refused_at_once() {
    let mut router = Router::new(open_groups());
    send_fatal(&mut router, fatal(1));
    let second = router.ask_for(fatal(2));
    let at = run(&second).to.to_string();
    router.part(run(&second).run, RunPart::Head);
    assert_eq!(refused(&mut router, fatal(3)), Some(Problem::NotRun(400)));
    router.part(run(&second).run, RunPart::Broken);
    router.answer_probe(&at, ProbeResult::Refused);
    let answer = refused(&mut router, fatal(4));
    assert!(is_blocked(answer), "{answer:?}");
}

/// Guards against suspecting streams that ran at a crashed endpoint and had sent events
/// already.
#[test]
fn a_stream_that_had_sent_events_is_not_suspected_of_a_crash() {
    let mut router = Router::new(open_groups());
    for id in 0..2 * BLOCKING_CRASHES as u64 {
        let sent = router.ask_for(fatal(id));
        let begun = run(&sent);
        router.part(begun.run, RunPart::Head);
        router.part(begun.run, piece(1));
        router.part(begun.run, RunPart::Broken);
        router.answer_probe(begun.to.as_str(), ProbeResult::Refused);
    }
    assert_eq!(router.state().crashes.table.len(), 0);
}

/// Guards against counting a reset connection as a crash while the endpoint still runs.
#[test]
fn an_answer_broken_off_by_a_running_endpoint_counts_against_no_request() {
    let mut router = Router::new(open_groups());
    for id in 0..2 * BLOCKING_CRASHES as u64 {
        let sent = router.ask_for(fatal(id));
        router.part(run(&sent).run, RunPart::Broken);
        let alive = ProbeResult::Alive(EndpointReport::default());
        router.answer_probe(run(&sent).to.as_str(), alive);
        router.advance_ms(2_000);
    }
    assert!(router.state().crashes.table.is_empty());
}

/// Guards against missing the crash of an endpoint that restarts under its id before the probe
/// reaches it.
#[test]
fn a_restart_at_the_same_address_counts_as_a_crash() {
    let mut entries = open_groups();
    entries.iter_mut().for_each(|(_, e)| e.born = Some(100));
    let mut router = Router::new(entries);
    let sent = router.ask_for(fatal(1));
    router.part(run(&sent).run, RunPart::Broken);
    let alive = ProbeResult::Alive(EndpointReport {
        started_ms: Some(200),
        ..EndpointReport::default()
    });
    router.answer_probe(run(&sent).to.as_str(), alive);
    let table = &router.state().crashes.table;
    assert_eq!(
        table.counted_crashes(&fatal(1).fingerprint.for_account(Some("ann"))),
        1
    );
}

/// Guards against refusing a harmless request that was in flight at two crashes by chance and
/// answered in full in between.
#[test]
fn a_request_that_is_answered_whole_is_cleared_of_earlier_crashes() {
    let mut router = Router::new(open_groups());
    assert_eq!(
        send_fatal(&mut router, fatal(1)).len(),
        BLOCKING_CRASHES - 1
    );
    router.advance_ms(2_000);
    let sent = router.ask_for(fatal(2));
    router.part(run(&sent).run, RunPart::Head);
    router.part(run(&sent).run, piece(1));
    router.part(run(&sent).run, RunPart::End);
    assert_eq!(
        send_fatal(&mut router, fatal(3)).len(),
        BLOCKING_CRASHES - 1
    );
}

/// Guards against suspecting a harmless request that callers send all the time, so that one
/// copy is in flight at each crash.
#[test]
fn a_request_that_was_answered_recently_is_not_suspected() {
    let mut router = Router::new(open_groups());
    let sent = router.ask_for(fatal(1));
    router.part(run(&sent).run, RunPart::Head);
    router.part(run(&sent).run, RunPart::End);
    for id in 2..6 {
        send_fatal(&mut router, fatal(id));
        router.advance_ms(1_000);
    }
    assert!(router.state().crashes.table.is_empty());
    router.advance_ms(60_000);
    assert_eq!(
        send_fatal(&mut router, fatal(9)).len(),
        BLOCKING_CRASHES - 1
    );
    assert_eq!(router.state().crashes.table.len(), 1);
}

/// The answers that are kept are bounded in number and age.
#[test]
fn recent_answers_are_bounded_in_number_and_age() {
    let name = |n: u64| Fingerprint::of(&[&n.to_be_bytes()]);
    let mut served = RecentlyServed::default();
    (0..10_000).for_each(|n| served.record(n, name(n)));
    let within = 60_000;
    assert!(served.contains(10_000, &name(9_999), within));
    assert!(!served.contains(10_000, &name(0), within), "pushed out");
    assert!(
        !served.contains(9_999 + within, &name(9_999), within),
        "too old"
    );
}

/// Guards against crashes being counted twice, or counted again after they were cleared, when
/// the records of two routers are merged late because datagrams were lost.
#[test]
fn crashes_that_routers_know_of_add_up_and_each_counts_once() {
    let crash = |n: u64| Crash {
        endpoint: InstanceId::new(&format!("e{n}")),
        born: Some(n),
    };
    let record = |of: &[u64]| CrashRecord {
        crashes: of.iter().map(|n| crash(*n)).collect(),
        ..CrashRecord::default()
    };
    let mut first = record(&[1, 2]);
    assert!(!first.merge(&record(&[2])) && !first.is_blocked());
    assert!(first.merge(&record(&[2, 3])) && first.is_blocked());
    assert!(first.clear());
    let mut second = record(&[1, 4]);
    assert!(second.merge(&first) && !second.is_blocked());
}

/// Guards against losing the blocked requests when all routers restart together: only the
/// key-value service still has them.
#[test]
fn a_router_that_starts_later_reads_which_requests_are_refused() {
    let mut router = Router::planner(open_groups());
    router.take_effects();
    (0..3).for_each(|id| {
        send_fatal(&mut router, fatal(id));
    });
    router.effects.clear();
    router.advance_ms(1_000);
    let puts = router.effects.iter().filter_map(|e| match e {
        Effect::Store {
            op: StoreCall::Transaction { puts, .. },
            ..
        } => puts.iter().find(|p| p.key.starts_with("runrail/crashes/")),
        _ => None,
    });
    let put = puts.last().cloned().expect("a write");
    let mut later = Router::bare();
    later.store_entries = vec![StoreEntry {
        key: put.key,
        value: put.value,
        revision: 1,
    }];
    later.initialize(open_groups());
    later.advance_ms(400);
    let answer = refused(&mut later, fatal(9));
    assert!(is_blocked(answer), "{answer:?}");
}

/// Number of writes of crash records to the key-value service.
fn crash_writes(router: &Router) -> usize {
    let puts = router.effects.iter().filter(|e| match e {
        Effect::Store {
            op: StoreCall::Transaction { puts, .. },
            ..
        } => puts.iter().any(|p| p.key.starts_with("runrail/crashes/")),
        _ => false,
    });
    puts.count()
}

/// Guards against losing a blocked request when the router that has to write it shuts down, and
/// all others end before the next one starts.
#[test]
fn a_router_that_shuts_down_still_writes_blocked_requests() {
    let mut router = Router::new(open_groups());
    for gone in send_fatal(&mut router, fatal(1)) {
        router.change(gone.as_str(), None);
    }
    router.feed(Event::Stop);
    send_fatal(&mut router, fatal(3));
    router.effects.clear();
    router.advance_ms(200);
    assert_eq!(crash_writes(&router), 1);
}

/// Guards against losing a blocked request when the router that reported it ends before it has
/// written the record.
#[test]
fn a_router_that_receives_a_report_writes_it_unless_the_service_has_it() {
    let crash = |n: u64| Crash {
        endpoint: InstanceId::new(&format!("e{n}")),
        born: None,
    };
    let report = CrashReport {
        cause: fatal(1).fingerprint,
        record: CrashRecord {
            crashes: (0..3).map(crash).collect(),
            ..CrashRecord::default()
        },
    };
    let informed = || {
        let mut router = Router::new(open_groups());
        router.tell(DirectEvent::PeerMessage {
            from: addr(2_000),
            message: PeerMessage::Crashes(vec![report.clone()]),
        });
        router.effects.clear();
        router
    };
    let mut alone = informed();
    alone.advance_ms(500);
    assert_eq!(
        crash_writes(&alone),
        0,
        "written before the other router had time to"
    );
    alone.advance_ms(2_000);
    assert_eq!(crash_writes(&alone), 1);
    let mut shown = informed();
    shown.feed(Event::Watch(vec![StoreChange {
        key: "runrail/crashes/x".into(),
        value: Some(serde_json::to_string(&report).expect("text")),
        revision: 9,
    }]));
    shown.advance_ms(3_000);
    assert_eq!(crash_writes(&shown), 0);
}

/// Guards against many requests with one crash each evicting the record of a blocked one.
#[test]
fn the_table_of_requests_is_bounded_and_keeps_those_that_are_refused() {
    let crash = |n: u64| {
        CrashRecord::of(Crash {
            endpoint: InstanceId::new(&format!("e{n}")),
            born: None,
        })
    };
    let name = |n: u64| Fingerprint::of(&[&n.to_be_bytes()]);
    let mut table = CrashTable::default();
    for n in 0..3 {
        table.merge(1_000, name(0), &crash(n));
    }
    for n in 1..5_000 {
        table.merge(1_000 + n, name(n), &crash(n));
    }
    assert!(table.is_blocked(&name(0)));
    assert!(table.len() <= 1_024, "{}", table.len());
    table.remove_expired(1_000 + 600_000);
    assert!(!table.is_blocked(&name(0)));
}

/// Each message with crash reports has to fit in a datagram.
#[test]
fn reports_of_many_crashes_fit_datagrams() {
    let mut router = Router::new(open_groups());
    router
        .state()
        .peers
        .insert(InstanceId::new("r2"), addr(2_000));
    let id = |n: u64| InstanceId::new(&format!("instance-of-a-long-name-{n}"));
    let of = |request: u64| CrashReport {
        cause: Fingerprint::of(&[&request.to_be_bytes()]),
        record: CrashRecord {
            crashes: (0..8)
                .map(|n| Crash {
                    endpoint: id(n),
                    born: Some(u64::MAX - n),
                })
                .collect(),
            cleared: (0..6)
                .map(|n| Crash {
                    endpoint: id(n),
                    born: Some(u64::MAX - n),
                })
                .collect(),
            ages: (0..8).map(|n| (id(n), u32::MAX)).collect(),
            ..CrashRecord::default()
        },
    };
    for request in 0..20 {
        router
            .state()
            .crashes
            .table
            .merge(1_000, of(request).cause, &of(request).record);
        router
            .state()
            .crashes
            .pending_reports
            .insert(of(request).cause, (0, 1));
    }
    router.advance_ms(20);
    let sent = router.sent_messages();
    let reports = sent
        .iter()
        .filter(|(_, m)| matches!(m, PeerMessage::Crashes(_)));
    let mut count = 0;
    for (_, message) in reports {
        let mut bytes = Vec::new();
        ciborium::into_writer(message, &mut bytes).expect("a message");
        assert!(bytes.len() <= 1_400, "{}", bytes.len());
        count += 1;
    }
    assert!(count > 1, "{count}");
}

/// Time within which all routers know of a crash.
const PROPAGATION: Duration = Duration::from_secs(3);

/// The limit of crashes holds with real processes, and for all routers together.
#[test]
fn processes_stop_sending_a_request_that_crashes_endpoints() {
    let dir = tempfile::tempdir().expect("a folder");
    let (standin, routers) = fleet(15, dir.path());
    let all = standin.alive().len();
    let crashes = || all - standin.alive().len();
    let is_known = |router: &testkit::direct::Router| {
        let counted = format!("runrail_crashes_counted {}\n", crashes());
        router.metrics().contains(&counted)
    };
    let attempt = |n: usize| {
        let router = &routers[n % routers.len()];
        let name = format!("fatal-{n}");
        let answer = send(router.callers, "POST", "/stream/x", &name, FATAL);
        until("all routers know of the crashes", PROPAGATION, || {
            routers.iter().all(is_known)
        });
        answer
    };
    let mut sent = 0;
    until("three crashes", Duration::from_secs(30), || {
        attempt(sent);
        sent += 1;
        crashes() >= BLOCKING_CRASHES
    });
    until("a group serves again", Duration::from_secs(30), || {
        !standin.open_groups().is_empty()
    });
    for n in 0..6 {
        attempt(sent + n);
    }
    assert_eq!(crashes(), BLOCKING_CRASHES, "{}", logs(dir.path()));
}

/// A harmless request that all callers send in the same form, under the given number.
fn common(id: u64) -> DirectRequest {
    DirectRequest {
        fingerprint: Fingerprint::of(&[b"common"]),
        ..request(id, "/stream/x")
    }
}

/// The members of a single open group.
fn group_of_three(n: u16) -> Vec<(InstanceId, EndpointEntry)> {
    open_group(&format!("g{n}"), [10 * n, 10 * n + 1, 10 * n + 2])
}

fn run_of(router: &mut Router, request: DirectRequest) -> (u64, InstanceId) {
    let sent = run(&router.ask_for(request));
    (sent.run, sent.to)
}

/// Replaces the open group by the next one.
fn replace_group(router: &mut Router, n: u16) {
    for (id, _) in group_of_three(n) {
        router.change(id.as_str(), None);
    }
    for (id, entry) in group_of_three(n + 1) {
        router.change(id.as_str(), Some(entry));
    }
    router.advance_ms(100);
    router.take_effects();
}

/// Lets the harmless request and then the fatal one run at the head of a group, which crashes
/// `after` milliseconds later. Their callers leave, and the next group takes the place of this one.
fn crash_under_both(router: &mut Router, n: u16, after: u64) {
    let (harmless, at) = run_of(router, common(100 + u64::from(n)));
    router.advance_ms(120);
    let (fatal, head) = run_of(router, fatal(200 + u64::from(n)));
    assert_eq!(at, head);
    router.advance_ms(after);
    router.effects.clear();
    for run in [harmless, fatal] {
        router.tell(DirectEvent::RunPart {
            run,
            part: RunPart::Broken,
        });
    }
    for id in [100, 200] {
        router.tell(DirectEvent::CallerGone(id + u64::from(n)));
    }
    router.answer_probe(head.as_str(), ProbeResult::Refused);
    replace_group(router, n);
}

/// Guards against a harmless request that is refused for good, as it ran at all endpoints that
/// another request crashed and was not answered in full in between.
#[test]
fn a_harmless_request_at_the_same_crashes_is_tried_alone_and_cleared() {
    let mut router = Router::planner(group_of_three(0));
    for n in 0..3 {
        crash_under_both(&mut router, n, 20);
    }
    let answer = refused(&mut router, fatal(1));
    assert!(is_blocked(answer), "{answer:?}");
    assert_eq!(refused(&mut router, common(2)), Some(Problem::NotRun(400)));
    router.advance_ms(2_000);
    let sent = run(&router.ask_for(common(3)));
    assert_eq!(refused(&mut router, common(4)), Some(Problem::NotRun(400)));
    router.part(sent.run, RunPart::Head);
    router.part(sent.run, piece(1));
    router.part(sent.run, RunPart::End);
    assert_eq!(refused(&mut router, common(5)), None);
    let answer = refused(&mut router, fatal(6));
    assert!(is_blocked(answer), "{answer:?}");
}

/// Guards against an endpoint crashing for each trial: if the evidence names the wrong one, the
/// request that crashes endpoints crashes one more, is refused, and the harmless one is cleared.
#[test]
fn a_request_that_crashes_an_endpoint_when_tried_alone_is_refused() {
    let mut router = Router::planner(group_of_three(0));
    for n in 0..3 {
        // The harmless request comes after the fatal one, which crashes the endpoint late.
        let (first, head) = run_of(&mut router, fatal(100 + u64::from(n)));
        router.advance_ms(100);
        let (second, _) = run_of(&mut router, common(200 + u64::from(n)));
        router.advance_ms(20);
        router.effects.clear();
        for run in [first, second] {
            router.part(run, RunPart::Broken);
        }
        for id in [100, 200] {
            router.tell(DirectEvent::CallerGone(id + u64::from(n)));
        }
        router.answer_probe(head.as_str(), ProbeResult::Refused);
        replace_group(&mut router, n);
    }
    assert_eq!(refused(&mut router, fatal(1)), Some(Problem::NotRun(400)));
    router.advance_ms(2_000);
    let (tried, head) = run_of(&mut router, fatal(2));
    assert_eq!(refused(&mut router, fatal(3)), Some(Problem::NotRun(400)));
    router.part(tried, RunPart::Broken);
    router.answer_probe(head.as_str(), ProbeResult::Refused);
    replace_group(&mut router, 3);
    router.advance_ms(2_000);
    assert!(is_blocked(refused(&mut router, fatal(4))));
    // The other one was at no crash of its own.
    let sent = run(&router.ask_for(common(5)));
    router.part(sent.run, RunPart::Head);
    router.part(sent.run, piece(1));
    router.part(sent.run, RunPart::End);
    assert_eq!(refused(&mut router, common(6)), None);
    router.advance_ms(2_000);
    assert!(is_blocked(refused(&mut router, fatal(7))));
}

/// Guards against a request that is cleared, and isn't suspected for a minute, by the failure of an endpoint
/// that may not have begun it: it would go on crashing others.
#[test]
fn a_failure_of_an_endpoint_clears_no_request() {
    let deadly = names().0;
    for (status, is_cleared) in [(500, false), (504, false), (404, true), (200, true)] {
        let mut router = Router::new(open_groups());
        receive(&mut router, vec![report_of(deadly, &[1, 2], 20)]);
        let (mut sent, _) = run_of(&mut router, fatal(1));
        // A failure is passed on once no retry is left.
        loop {
            let not_run = false;
            let effects = router.part(sent, RunPart::Complete { status, not_run });
            let again = effects.iter().find_map(|e| match e {
                DirectEffect::Run(run) => Some(run.run),
                _ => None,
            });
            let Some(again) = again else {
                break;
            };
            sent = again;
        }
        let table = &router.state().crashes.table;
        let crashes = table.counted_crashes(&deadly);
        assert_eq!(crashes == 0, is_cleared, "{status}: {crashes}");
    }
}

fn crash_at(n: u64) -> Crash {
    Crash {
        endpoint: InstanceId::new(&format!("e{n}")),
        born: None,
    }
}

/// A report of crashes at which a run of the request had been there for `age` milliseconds.
fn report_of(request: Fingerprint, crashes: &[u64], age: u32) -> CrashReport {
    let mut record = CrashRecord::default();
    for n in crashes {
        record.merge(&CrashRecord::of_run(crash_at(*n), age, false));
    }
    CrashReport {
        cause: request,
        record,
    }
}

fn receive(router: &mut Router, reports: Vec<CrashReport>) {
    router.tell(DirectEvent::PeerMessage {
        from: addr(2_000),
        message: PeerMessage::Crashes(reports),
    });
}

fn names() -> (Fingerprint, Fingerprint) {
    let name = |r: DirectRequest| r.fingerprint.for_account(Some("ann"));
    (name(fatal(0)), name(common(0)))
}

/// Guards against a harmless request that is refused for good at a router that learns of the third
/// crash under the fatal one late, as datagrams were lost, and against trials at several routers.
#[test]
fn a_router_waits_for_the_reports_of_others_before_it_refuses_a_request_for_good() {
    let (deadly, harmless) = names();
    let mut router = Router::new(open_groups());
    router.advance_ms(100);
    receive(&mut router, vec![report_of(deadly, &[1, 2], 20)]);
    receive(&mut router, vec![report_of(harmless, &[1, 2, 3], 90)]);
    assert_eq!(refused(&mut router, common(1)), Some(Problem::NotRun(400)));
    router.advance_ms(600);
    receive(&mut router, vec![report_of(deadly, &[1, 2, 3], 20)]);
    assert!(is_blocked(refused(&mut router, fatal(2))));
    router.advance_ms(3_000);
    // This router isn't the planner.
    router.state().plan.lease.fence = 0;
    assert_eq!(refused(&mut router, common(3)), Some(Problem::NotRun(400)));
    let mut cleared = report_of(harmless, &[1, 2, 3], 90);
    cleared.record.clear();
    receive(&mut router, vec![cleared]);
    assert_eq!(refused(&mut router, common(4)), None);
}

/// Guards against a harmless request that is refused for good at the router that sees its third crash
/// first: of the one that causes them it knows one crash so far.
#[test]
fn a_request_that_shares_one_crash_with_another_is_not_refused_for_good_at_once() {
    let (deadly, harmless) = names();
    let mut router = Router::new(open_groups());
    receive(&mut router, vec![report_of(deadly, &[2], 20)]);
    receive(&mut router, vec![report_of(harmless, &[1, 2, 3], 90)]);
    assert_eq!(refused(&mut router, common(1)), Some(Problem::NotRun(400)));
    router.advance_ms(400);
    receive(&mut router, vec![report_of(deadly, &[2, 3, 5], 20)]);
    assert_eq!(refused(&mut router, common(2)), Some(Problem::NotRun(400)));
}

/// Guards against a request that is never refused for good: no report of another one comes.
#[test]
fn a_request_that_was_alone_at_a_crash_is_refused_within_a_second() {
    let (deadly, harmless) = names();
    let mut router = Router::new(open_groups());
    receive(&mut router, vec![report_of(harmless, &[1, 2], 20)]);
    receive(&mut router, vec![report_of(deadly, &[1, 2, 3], 90)]);
    assert_eq!(refused(&mut router, fatal(1)), Some(Problem::NotRun(400)));
    router.advance_ms(1_020);
    assert!(is_blocked(refused(&mut router, fatal(2))));
}

/// Guards against a clearing that a router which starts later doesn't know of.
#[test]
fn a_router_that_starts_later_sends_a_request_that_was_cleared() {
    let (deadly, harmless) = names();
    let mut router = Router::planner(open_groups());
    let reports = [
        report_of(deadly, &[1, 2, 3], 20),
        report_of(harmless, &[1, 2, 3], 90),
    ];
    receive(&mut router, reports.to_vec());
    router.advance_ms(4_000);
    let sent = run(&router.ask_for(common(1)));
    router.part(sent.run, RunPart::Head);
    router.part(sent.run, piece(1));
    router.part(sent.run, RunPart::End);
    router.effects.clear();
    // Another router that doesn't know of it writes the record as it was.
    let key = format!("runrail/crashes/{harmless}");
    router.feed(Event::Watch(vec![StoreChange {
        key: key.clone(),
        value: Some(serde_json::to_string(&reports[1]).expect("text")),
        revision: 9,
    }]));
    router.advance_ms(1_000);
    let puts = router.effects.iter().filter_map(|e| match e {
        Effect::Store {
            op: StoreCall::Transaction { puts, .. },
            ..
        } => puts.iter().find(|p| p.key == key),
        _ => None,
    });
    let put = puts.last().cloned().expect("a write");
    let mut later = Router::bare();
    later.store_entries = vec![StoreEntry {
        key: put.key,
        value: put.value,
        revision: 1,
    }];
    later.initialize(open_groups());
    later.advance_ms(400);
    assert_eq!(refused(&mut later, common(9)), None);
}

/// Guards against reports that routers of an earlier version don't understand, or the reverse.
#[test]
fn reports_without_ages_are_understood() {
    let known = serde_json::json!({
        "request": names().0,
        "record": {"crashes": [{"endpoint": "e1", "born": 5}], "cleared": [], "later": 1},
    });
    let report: CrashReport = serde_json::from_value(known).expect("a report");
    assert_eq!(report.record.crashes.len(), 1);
    assert!(report.record.ages.is_empty());
}

/// Guards against a harmless request that is refused for good, as the router that knew of the other
/// one's run at one of the crashes has ended without reporting it.
#[test]
fn a_request_that_shares_all_crashes_but_one_is_tried_as_well() {
    let (deadly, harmless) = names();
    let mut router = Router::planner(open_groups());
    receive(&mut router, vec![report_of(harmless, &[1, 2, 3], 90)]);
    receive(&mut router, vec![report_of(deadly, &[1, 3, 4, 5], 20)]);
    router.advance_ms(2_000);
    run(&router.ask_for(common(1)));
    assert_eq!(refused(&mut router, common(2)), Some(Problem::NotRun(400)));
    assert!(is_blocked(refused(&mut router, fatal(3))));
}

/// Guards against a harmless request that is refused for good at a router that has just started: it
/// learnt of the request's crashes, but not of those under the one that caused them.
#[test]
fn routers_report_a_refused_request_together_with_those_at_the_same_crashes() {
    let (deadly, harmless) = names();
    let mut router = Router::new(open_groups());
    router
        .state()
        .peers
        .insert(InstanceId::new("r2"), addr(2_000));
    receive(&mut router, vec![report_of(deadly, &[2, 3], 20)]);
    receive(&mut router, vec![report_of(harmless, &[1, 2], 90)]);
    receive(&mut router, vec![report_of(harmless, &[3], 90)]);
    router.advance_ms(20);
    let messages = router.sent_messages();
    assert_eq!(reported(&messages), BTreeSet::from([deadly, harmless]));
    let reports = messages.into_iter().filter_map(|(_, m)| match m {
        PeerMessage::Crashes(reports) => Some(reports),
        _ => None,
    });
    let reports: Vec<_> = reports.flatten().collect();
    let mut started = Router::new(open_groups());
    receive(&mut started, reports);
    assert_eq!(refused(&mut started, common(1)), Some(Problem::NotRun(400)));
}

/// Requests in the reports among some messages.
fn reported(messages: &[(std::net::SocketAddr, PeerMessage)]) -> BTreeSet<Fingerprint> {
    let reports = messages.iter().flat_map(|(_, m)| match m {
        PeerMessage::Crashes(reports) => reports.as_slice(),
        _ => &[],
    });
    reports.map(|r| r.cause).collect()
}

/// Guards against a router that has just started, and learns of the second crash under a harmless
/// request but not of those under the one that caused them.
#[test]
fn routers_report_a_risky_request_together_with_those_at_the_same_crashes() {
    let (deadly, harmless) = names();
    let mut router = Router::new(group_of_three(0));
    receive(&mut router, vec![report_of(deadly, &[1, 2], 20)]);
    receive(&mut router, vec![report_of(harmless, &[2], 90)]);
    router.advance_ms(20);
    let peers = &mut router.state().peers;
    peers.insert(InstanceId::new("r2"), addr(2_000));
    // The second crash is counted by this router.
    let (sent, head) = run_of(&mut router, common(1));
    router.part(sent, RunPart::Broken);
    router.answer_probe(head.as_str(), ProbeResult::Refused);
    let sent = router.sent_messages();
    assert_eq!(reported(&sent), BTreeSet::from([deadly, harmless]));
}

/// Guards against a crash more than before: a run of the fatal request broke off after the head of its
/// answer, and it waited to be sent again while reports of other routers showed its third crash.
#[test]
fn a_request_that_waits_to_be_sent_again_isnt_once_it_has_three_crashes() {
    let (deadly, harmless) = names();
    let mut router = Router::new(group_of_three(0));
    let (sent, head) = run_of(&mut router, fatal(1));
    router.part(sent, RunPart::Head);
    router.part(sent, RunPart::Broken);
    router.answer_probe(head.as_str(), ProbeResult::Refused);
    receive(&mut router, vec![report_of(harmless, &[1, 2], 20)]);
    receive(&mut router, vec![report_of(deadly, &[1, 2, 3], 90)]);
    replace_group(&mut router, 0);
    router.advance_ms(100);
    assert_eq!(refused(&mut router, fatal(2)), Some(Problem::NotRun(400)));
    let state = router.state();
    assert!(state.in_flight.is_empty(), "{:?}", state.in_flight);
}

/// Guards against a harmless request that is refused for good until the probes show the other
/// crashes of the one that caused them.
#[test]
fn a_request_that_shares_a_crash_with_a_risky_one_is_not_refused_for_good_at_once() {
    let (deadly, harmless) = names();
    let mut router = Router::new(open_groups());
    receive(&mut router, vec![report_of(deadly, &[2, 5], 20)]);
    receive(&mut router, vec![report_of(harmless, &[1, 2, 3], 90)]);
    assert_eq!(refused(&mut router, common(1)), Some(Problem::NotRun(400)));
    router.advance_ms(400);
    receive(&mut router, vec![report_of(deadly, &[2, 3, 5], 20)]);
    assert_eq!(refused(&mut router, common(2)), Some(Problem::NotRun(400)));
    router.advance_ms(2_000);
    run(&router.ask_for(common(3)));
}

/// Guards against a harmless request that is refused for good: its runs and those of the fatal one were
/// sent with one event each, so that the ages of both are equal.
#[test]
fn of_two_requests_with_equal_evidence_one_is_held_and_the_other_refused() {
    let (deadly, harmless) = names();
    let mut router = Router::planner(open_groups());
    let reports = [deadly, harmless].map(|r| report_of(r, &[1, 2, 3], 20));
    receive(&mut router, reports.to_vec());
    router.advance_ms(2_000);
    let now = router.now;
    let table = &router.state().crashes.table;
    let first = deadly.min(harmless);
    let second = deadly.max(harmless);
    assert_eq!(table.verdict(now, &first), Verdict::Blocked);
    assert_eq!(table.verdict(now, &second), Verdict::Held);
}

/// Guards against a harmless request that is taken for the one that crashes endpoints: its run broke off
/// before the probe of the endpoint was answered, that of the other one just after it.
#[test]
fn a_run_that_breaks_off_after_the_probe_counts_as_one_at_the_crash() {
    let (deadly, harmless) = names();
    let mut router = Router::new(group_of_three(0));
    let (first, head) = run_of(&mut router, common(1));
    let (second, _) = run_of(&mut router, fatal(2));
    router.part(first, RunPart::Broken);
    router.answer_probe(head.as_str(), ProbeResult::Refused);
    router.part(second, RunPart::Broken);
    let table = &router.state().crashes.table;
    assert_eq!(table.counted_crashes(&harmless), 1);
    assert_eq!(table.counted_crashes(&deadly), 1);
}

/// A report whose last crash is one at which the request was tried alone.
fn report_of_trial(request: Fingerprint, crashes: &[u64], alone: u64) -> CrashReport {
    let mut report = report_of(request, crashes, 90);
    let trial = CrashRecord::of_run(crash_at(alone), 90, true);
    assert!(report.record.merge(&trial));
    report
}

/// Guards against a fatal request that is tried again and again: its record was full, so that the crash
/// of its trial wasn't recorded.
#[test]
fn a_crash_of_a_trial_is_recorded_in_a_full_record() {
    let (deadly, harmless) = names();
    let all = [1, 2, 3, 4, 5, 6, 7, 8];
    let mut router = Router::planner(open_groups());
    receive(&mut router, vec![report_of(harmless, &all, 20)]);
    receive(&mut router, vec![report_of_trial(deadly, &all, 9)]);
    router.advance_ms(2_000);
    let now = router.now;
    let table = &router.state().crashes.table;
    assert_eq!(table.counted_crashes(&deadly), 8);
    assert_eq!(table.verdict(now, &deadly), Verdict::Blocked);
    // A crash that is known already is marked as well.
    let mut known = report_of(deadly, &all, 90).record;
    assert!(known.merge(&CrashRecord::of_run(crash_at(8), 90, true)));
    assert!(known.has_crashed_alone());
    assert!(!known.merge(&CrashRecord::of_run(crash_at(8), 90, true)));
}

/// Guards against a router that starts later, becomes the planner and tries a request again that has
/// crashed an endpoint alone.
#[test]
fn a_crash_of_a_trial_is_written_to_the_service() {
    let (deadly, harmless) = names();
    let mut router = Router::planner(group_of_three(0));
    let of_deadly = report_of(deadly, &[1, 2, 3], 90);
    receive(
        &mut router,
        vec![of_deadly, report_of(harmless, &[1, 2, 3], 20)],
    );
    router.advance_ms(4_000);
    let (tried, head) = run_of(&mut router, fatal(1));
    router.part(tried, RunPart::Broken);
    router.effects.clear();
    router.answer_probe(head.as_str(), ProbeResult::Refused);
    router.advance_ms(1_000);
    assert_eq!(crash_writes(&router), 1);
}

/// Guards against the crash of a trial being lost with the router that has seen it, and against routers
/// that write a record by turns, as each has crashes that the other's has no room for.
#[test]
fn a_reported_crash_of_a_trial_is_written_unless_the_service_has_it() {
    let (deadly, _) = names();
    let show = |router: &mut Router, report: &CrashReport| {
        router.effects.clear();
        router.feed(Event::Watch(vec![StoreChange {
            key: format!("runrail/crashes/{deadly}"),
            value: Some(serde_json::to_string(report).expect("text")),
            revision: 9,
        }]));
        router.advance_ms(3_000);
        crash_writes(router)
    };
    let mut router = Router::new(open_groups());
    receive(&mut router, vec![report_of(deadly, &[1, 2, 3], 90)]);
    router.advance_ms(4_000);
    let report = report_of_trial(deadly, &[1, 2, 3], 4);
    receive(&mut router, vec![report.clone()]);
    assert_eq!(show(&mut router, &report), 0);
    // An older form of the record takes its place.
    let older = report_of(deadly, &[1, 2, 3], 90);
    assert_eq!(show(&mut router, &older), 1);
    // Its record is full, without some of the crashes that this router has cleared.
    router.state().crashes.table.clear(&deadly);
    let mut full = report_of_trial(deadly, &[11, 12, 13, 14, 15, 16, 17], 4);
    full.record.cleared.insert(crash_at(4));
    assert_eq!(show(&mut router, &full), 0);
}
