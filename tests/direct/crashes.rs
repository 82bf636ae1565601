//! Requests that crash the endpoints that run them.

use std::time::Duration;

use runrail::logic::direct::crashes::{
    Crash, CrashRecord, CrashReport, CrashTable, RecentlyServed,
};
use runrail::logic::direct::{
    DirectEffect, DirectEvent, DirectRequest, Fingerprint, LookResult, PeerMessage, Problem,
    RunPart,
};
use runrail::logic::router::{StoreCall, StoreChange, StoreEntry};
use runrail::logic::{Effect, Event};
use runrail::types::{EndpointEntry, InstanceId};

use crate::fixture::{addr, open_group, piece, problem, request, run, Router};
use testkit::direct::FATAL;
use testkit::direct::{fleet, send, until};

/// Crashes after which a request is refused.
const MOST: usize = 3;

/// Heads of open groups `g0` to `g9`.
fn heads() -> Vec<(InstanceId, EndpointEntry)> {
    let group = |n: u16| open_group(&format!("g{n}"), [10 * n, 10 * n + 1, 10 * n + 2]);
    (0..10).flat_map(group).collect()
}

/// The request that crashes endpoints, under another number each time.
fn fatal(id: u64) -> DirectRequest {
    DirectRequest {
        content: Fingerprint::of(&[b"fatal"]),
        ..request(id, "/stream/x")
    }
}

/// Sends a request that crashes each endpoint that begins it; returns which.
fn crash(router: &mut Router, request: DirectRequest) -> Vec<InstanceId> {
    router.take();
    router.tell(DirectEvent::Request(Box::new(request)));
    let mut crashed = Vec::new();
    loop {
        let run = router.take().into_iter().find_map(|e| match e {
            DirectEffect::Run(run) => Some((run.run, run.to)),
            _ => None,
        });
        let Some((run, to)) = run else {
            return crashed;
        };
        crashed.push(to);
        router.tell(DirectEvent::Part {
            run,
            part: RunPart::Head,
        });
        router.tell(DirectEvent::Part {
            run,
            part: RunPart::Broken,
        });
        find_dead(router);
    }
}

/// Answers the looks at endpoints that have crashed.
fn find_dead(router: &mut Router) {
    let looks = router.done.iter().filter_map(|e| match e {
        Effect::Direct(DirectEffect::Look { id, .. }) => Some(id.to_string()),
        _ => None,
    });
    for id in looks.collect::<Vec<_>>() {
        router.looked(&id, LookResult::Refused);
    }
}

/// What a request had done to endpoints was forgotten with each attempt, so that it was
/// sent to one endpoint after the other for as long as its caller came back.
#[test]
fn a_request_that_has_crashed_three_endpoints_is_not_sent_again() {
    let mut router = Router::new(heads());
    let mut crashes = 0;
    for id in 0..6 {
        crashes += crash(&mut router, fatal(id)).len();
        router.pass(200);
    }
    assert_eq!(crashes, MOST);
}

/// Each router knew only what had crashed by its own doing.
#[test]
fn a_request_that_has_crashed_three_endpoints_is_sent_by_no_router() {
    let routers = ["r1", "r2"].map(InstanceId::new);
    let mut first = Router::named("r1", &routers, heads());
    let mut second = Router::named("r2", &routers, heads());
    let kept = |name: &str, port: u16| StoreEntry {
        key: format!("runrail/router/{name}"),
        value: addr(port).to_string(),
        revision: 1,
    };
    first.kept = vec![kept("r2", 2_001)];
    second.kept = vec![kept("r1", 2_000)];
    let mut crashes = 0;
    for id in 0..6 {
        let (here, there) = if id % 2 == 0 {
            (&mut first, &mut second)
        } else {
            (&mut second, &mut first)
        };
        let crashed = crash(here, fatal(id));
        crashes += crashed.len();
        for gone in crashed {
            here.change(gone.as_str(), None);
            there.change(gone.as_str(), None);
        }
        here.pass(400);
        for (_, message) in here.said() {
            let from = addr(2_000);
            there.tell(DirectEvent::Peer { from, message });
        }
    }
    assert_eq!(crashes, MOST);
}

/// What a caller is told, if a request that has crashed nothing here isn't sent.
fn refused(router: &mut Router, request: DirectRequest) -> Option<Problem> {
    router.take();
    router.tell(DirectEvent::Request(Box::new(request)));
    problem(&router.take())
}

/// The refusal is final and comes at once, also to callers whose request was on its way.
#[test]
fn what_waits_of_a_request_that_crashes_endpoints_is_refused_with_the_rest() {
    let mut router = Router::new(heads());
    crash(&mut router, fatal(1));
    let second = router.ask_for(fatal(2));
    let at = run(&second).to.to_string();
    router.part(run(&second).run, RunPart::Head);
    assert_eq!(refused(&mut router, fatal(3)), Some(Problem::NotRun(400)));
    router.part(run(&second).run, RunPart::Broken);
    router.looked(&at, LookResult::Refused);
    let told = refused(&mut router, fatal(4));
    assert_eq!(told, Some(Problem::CrashesEndpoints));
}

/// A stream that had shown events was at work there by chance.
#[test]
fn a_stream_that_had_moved_on_is_no_suspect_of_a_crash() {
    let mut router = Router::new(heads());
    for id in 0..2 * MOST as u64 {
        let sent = router.ask_for(fatal(id));
        let begun = run(&sent);
        router.part(begun.run, RunPart::Head);
        router.part(begun.run, piece(1));
        router.part(begun.run, RunPart::Broken);
        router.looked(begun.to.as_str(), LookResult::Refused);
    }
    assert_eq!(router.state().crashes.table.len(), 0);
}

/// An endpoint that resets connections has not crashed.
#[test]
fn an_answer_that_breaks_off_at_an_endpoint_that_lives_counts_against_nobody() {
    let mut router = Router::new(heads());
    for id in 0..2 * MOST as u64 {
        let sent = router.ask_for(fatal(id));
        router.part(run(&sent).run, RunPart::Broken);
        let alive = LookResult::Alive {
            born: None,
            seat: None,
            pace: 1_000,
        };
        router.looked(run(&sent).to.as_str(), alive);
        router.pass(2_000);
    }
    assert!(router.state().crashes.table.is_empty());
}

/// An endpoint that is back under its id before anybody looks has crashed all the same.
#[test]
fn a_later_life_at_the_same_address_tells_of_a_crash() {
    let mut entries = heads();
    entries.iter_mut().for_each(|(_, e)| e.born = Some(100));
    let mut router = Router::new(entries);
    let sent = router.ask_for(fatal(1));
    router.part(run(&sent).run, RunPart::Broken);
    let alive = LookResult::Alive {
        born: Some(200),
        seat: None,
        pace: 1_000,
    };
    router.looked(run(&sent).to.as_str(), alive);
    let table = &router.state().crashes.table;
    assert_eq!(table.suspected(&fatal(1).content.by(Some("ann"))), 1);
}

/// Whoever was at two crashes by chance is not refused after a third.
#[test]
fn a_request_that_is_answered_whole_is_cleared_of_earlier_crashes() {
    let mut router = Router::new(heads());
    assert_eq!(crash(&mut router, fatal(1)).len(), MOST - 1);
    router.pass(2_000);
    let sent = router.ask_for(fatal(2));
    router.part(run(&sent).run, RunPart::Head);
    router.part(run(&sent).run, piece(1));
    router.part(run(&sent).run, RunPart::End);
    assert_eq!(crash(&mut router, fatal(3)).len(), MOST - 1);
}

/// Callers who send the same harmless request again and again have some of it at work at
/// each crash.
#[test]
fn a_request_that_was_answered_lately_is_no_suspect() {
    let mut router = Router::new(heads());
    let sent = router.ask_for(fatal(1));
    router.part(run(&sent).run, RunPart::Head);
    router.part(run(&sent).run, RunPart::End);
    for id in 2..6 {
        crash(&mut router, fatal(id));
        router.pass(1_000);
    }
    assert!(router.state().crashes.table.is_empty());
    router.pass(60_000);
    assert_eq!(crash(&mut router, fatal(9)).len(), MOST - 1);
    assert_eq!(router.state().crashes.table.len(), 1);
}

/// What is remembered of answers is bounded.
#[test]
fn answers_are_remembered_for_a_while_and_not_without_end() {
    let name = |n: u64| Fingerprint::of(&[&n.to_be_bytes()]);
    let mut served = RecentlyServed::default();
    (0..10_000).for_each(|n| served.record(n, name(n)));
    assert!(served.contains(10_000, &name(9_999)));
    assert!(!served.contains(10_000, &name(0)), "pushed out");
    assert!(!served.contains(9_999 + 60_000, &name(9_999)), "too old");
}

/// Two routers know of two crashes each; what they were told in between was lost.
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

/// All routers start anew together: only the key-value service remembers.
#[test]
fn a_router_that_starts_later_reads_which_requests_are_refused() {
    let mut router = Router::planner(heads());
    router.take();
    (0..3).for_each(|id| {
        crash(&mut router, fatal(id));
    });
    router.done.clear();
    router.pass(1_000);
    let puts = router.done.iter().filter_map(|e| match e {
        Effect::Store {
            op: StoreCall::Swap { puts, .. },
            ..
        } => puts.iter().find(|p| p.key.starts_with("runrail/crashes/")),
        _ => None,
    });
    let put = puts.last().cloned().expect("a write");
    let mut later = Router::bare();
    later.kept = vec![StoreEntry {
        key: put.key,
        value: put.value,
        revision: 1,
    }];
    later.begin(heads());
    later.pass(400);
    let told = refused(&mut later, fatal(9));
    assert_eq!(told, Some(Problem::CrashesEndpoints));
}

/// Records of refused requests that a router has written.
fn written(router: &Router) -> usize {
    let puts = router.done.iter().filter(|e| match e {
        Effect::Store {
            op: StoreCall::Swap { puts, .. },
            ..
        } => puts.iter().any(|p| p.key.starts_with("runrail/crashes/")),
        _ => false,
    });
    puts.count()
}

/// The only router that had to write what is refused was told to stop, and all others ended
/// before the next one came.
#[test]
fn a_router_that_stops_still_writes_what_is_refused() {
    let mut router = Router::new(heads());
    for gone in crash(&mut router, fatal(1)) {
        router.change(gone.as_str(), None);
    }
    router.feed(Event::Stop);
    crash(&mut router, fatal(3));
    router.done.clear();
    router.pass(200);
    assert_eq!(written(&router), 1);
}

/// Whoever told what is refused may end before it has written that.
#[test]
fn what_is_refused_is_written_by_who_was_told_unless_the_service_shows_it() {
    let crash = |n: u64| Crash {
        endpoint: InstanceId::new(&format!("e{n}")),
        born: None,
    };
    let report = CrashReport {
        request: fatal(1).content,
        record: CrashRecord {
            crashes: (0..3).map(crash).collect(),
            ..CrashRecord::default()
        },
    };
    let told = || {
        let mut router = Router::new(heads());
        router.tell(DirectEvent::Peer {
            from: addr(2_000),
            message: PeerMessage::Crashes(vec![report.clone()]),
        });
        router.done.clear();
        router
    };
    let mut alone = told();
    alone.pass(500);
    assert_eq!(written(&alone), 0, "the other one writes it");
    alone.pass(2_000);
    assert_eq!(written(&alone), 1);
    let mut shown = told();
    shown.feed(Event::Watch(vec![StoreChange {
        key: "runrail/crashes/x".into(),
        value: Some(serde_json::to_string(&report).expect("text")),
        revision: 9,
    }]));
    shown.pass(3_000);
    assert_eq!(written(&shown), 0);
}

/// Somebody who sends many requests that crash one endpoint each pushes none out that is
/// refused.
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

/// What is told of crashes has to fit a datagram.
#[test]
fn reports_of_many_crashes_fit_datagrams() {
    let mut router = Router::new(heads());
    router
        .state()
        .peers
        .insert(InstanceId::new("r2"), addr(2_000));
    let id = |n: u64| InstanceId::new(&format!("instance-of-a-long-name-{n}"));
    let of = |request: u64| CrashReport {
        request: Fingerprint::of(&[&request.to_be_bytes()]),
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
        },
    };
    for request in 0..20 {
        router
            .state()
            .crashes
            .table
            .merge(1_000, of(request).request, &of(request).record);
        router
            .state()
            .crashes
            .pending_reports
            .insert(of(request).request, (0, 1));
    }
    router.pass(20);
    let said = router.said();
    let told = said
        .iter()
        .filter(|(_, m)| matches!(m, PeerMessage::Crashes(_)));
    let mut count = 0;
    for (_, message) in told {
        let mut bytes = Vec::new();
        ciborium::into_writer(message, &mut bytes).expect("a message");
        assert!(bytes.len() <= 1_400, "{}", bytes.len());
        count += 1;
    }
    assert!(count > 1, "{count}");
}

/// The same with real processes: whoever sends it, and whichever router gets it.
#[test]
fn processes_stop_sending_a_request_that_crashes_endpoints() {
    let dir = tempfile::tempdir().expect("a folder");
    let (standin, routers) = fleet(15, dir.path());
    let all = standin.alive().len();
    let attempt = |n: usize| {
        let router = &routers[n % routers.len()];
        let name = format!("fatal-{n}");
        send(router.callers, "POST", "/stream/x", &name, FATAL)
    };
    let mut sent = 0;
    until("three crashes", Duration::from_secs(30), || {
        attempt(sent);
        sent += 1;
        all - standin.alive().len() >= MOST
    });
    until("a group serves again", Duration::from_secs(30), || {
        !standin.open_groups().is_empty()
    });
    for n in 0..6 {
        attempt(sent + n);
    }
    assert_eq!(all - standin.alive().len(), MOST);
}
