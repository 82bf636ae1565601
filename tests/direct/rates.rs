//! Limits of requests a second that endpoints name in their answers.

use std::time::{Duration, Instant};

use runrail::logic::direct::{DirectEvent, PeerMessage, Problem, RunPart};
use runrail::types::{InstanceId, RequestRate};

use crate::fixture::{addr, plain, problem, run, Router};
use testkit::direct::{call, fleet};

/// The endpoint that names a limit, and the other one.
const LIMITED: &str = "pe0";
const OTHER: &str = "pe1";

/// Span over which requests at an endpoint are counted.
const SPAN: Duration = Duration::from_secs(4);

/// Requests that an endpoint may get within a span from all routers that know its limit.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * SPAN.as_secs_f64() + 5.0) as usize
}

/// Most requests within any span.
fn most(arrivals: &[Instant]) -> usize {
    let spans = arrivals.iter().map(|from| {
        let inside = arrivals
            .iter()
            .filter(|at| **at >= *from && **at < *from + SPAN);
        inside.count()
    });
    spans.max().unwrap_or(0)
}

/// Routers that know each other and two endpoints.
fn routers(count: u16) -> Vec<Router> {
    let name = |n| InstanceId::new(&format!("r{n}"));
    let ids: Vec<_> = (0..count).map(name).collect();
    let router = |id: &InstanceId| Router::named(id.as_str(), &ids, vec![plain(0), plain(1)]);
    ids.iter().map(router).collect()
}

/// The endpoint answers a run, with a limit of thousandths of a request a second.
fn rated(router: &mut Router, run: Option<u64>, milli: Option<u64>) {
    router.tell(DirectEvent::Rated {
        id: InstanceId::new(LIMITED),
        run,
        rate: milli.map(RequestRate::from_milli),
    });
}

const ANSWERED: RunPart = RunPart::Whole {
    status: 200,
    not_run: false,
};

/// Callers ask a router for a while; returns when it sent something to the endpoint with
/// the limit, in milliseconds.
fn demand(router: &mut Router, ms: u64, milli: Option<u64>) -> Vec<u64> {
    let mut sent = Vec::new();
    let end = router.now + ms;
    let mut id = 100;
    while router.now < end {
        id += 1;
        let to = run(&router.ask(id, "/safe/x"));
        if to.to.as_str() == LIMITED {
            sent.push(router.now);
            rated(router, Some(to.run), milli);
        }
        router.part(to.run, ANSWERED);
        router.now += 20;
    }
    sent
}

/// Each router by itself keeps to what all of them may send together.
#[test]
fn routers_keep_together_to_the_limit_of_an_endpoint() {
    for count in [1, 5, 14, 52] {
        for milli in [0, 100, 400, 2_300, 4_800, 20_000] {
            let mut sent = Vec::new();
            for mut router in routers(count) {
                rated(&mut router, None, Some(milli));
                sent.extend(demand(&mut router, 12_000, Some(milli)));
            }
            sent.sort_unstable();
            let within = |from: &u64| {
                let inside = sent
                    .iter()
                    .filter(|at| **at >= *from && **at < from + 4_000);
                inside.count()
            };
            let most = sent.iter().map(within).max().unwrap_or(0);
            let rate = milli as f64 / 1_000.0;
            assert!(most <= allowed(rate), "{count} routers, {rate}: {most}");
            let wanted = (rate * 12.0 / 2.0) as usize;
            assert!(
                sent.len() >= wanted,
                "{count} routers, {rate}: {}",
                sent.len()
            );
        }
    }
}

/// A router that got no answer from the endpoint sent there as if it took any number.
#[test]
fn a_limit_and_its_end_are_told_to_routers_that_hear_nothing_of_the_endpoint() {
    let mut all = routers(2);
    let mut second = all.pop().expect("a router");
    let mut first = all.pop().expect("a router");
    let carry = |from: &mut Router, to: &mut Router| {
        for (_, message) in from.said() {
            if matches!(message, PeerMessage::Rate { .. }) {
                let from = addr(2_000);
                to.tell(DirectEvent::Peer { from, message });
            }
        }
    };
    rated(&mut first, None, Some(5_000));
    carry(&mut first, &mut second);
    let limited = demand(&mut second, 4_000, Some(5_000)).len();
    assert!((5..=11).contains(&limited), "{limited}");
    demand(&mut first, 2_000, None);
    let over = PeerMessage::Rate {
        id: InstanceId::new(LIMITED),
        rate: None,
    };
    let from = addr(2_000);
    second.tell(DirectEvent::Peer {
        from,
        message: over,
    });
    let free = demand(&mut second, 2_000, None).len();
    assert!(free > 30, "{free}");
}

/// A router that tells of the end of a limit does so by its own answers.
#[test]
fn the_first_answer_without_a_limit_ends_it_unless_its_request_is_older() {
    let mut router = routers(2).remove(0);
    let older = (0..2).map(|id| run(&router.ask(id, "/safe/x")));
    let older: Vec<_> = older.collect();
    let older = older.iter().find(|r| r.to.as_str() == LIMITED);
    let older = older.expect("a run at the endpoint").run;
    router.now += 20;
    rated(&mut router, None, Some(5_000));
    rated(&mut router, Some(older), None);
    let ends = |message: &PeerMessage| matches!(message, PeerMessage::Rate { rate: None, .. });
    assert!(!router.said().iter().any(|(_, m)| ends(m)));
    router.now += 1_000;
    let newer = (10..14).map(|id| run(&router.ask(id, "/safe/x")));
    let newer: Vec<_> = newer.collect();
    let newer = newer.iter().find(|r| r.to.as_str() == LIMITED);
    rated(&mut router, newer.map(|r| r.run), None);
    assert!(router.said().iter().any(|(_, m)| ends(m)));
}

/// Callers waited for an endpoint that this router had no share of.
#[test]
fn what_only_others_may_send_is_refused_at_once() {
    let refused = |router: &mut Router| {
        router.change(OTHER, None);
        rated(router, None, Some(0));
        problem(&router.ask(1, "/safe/x"))
    };
    let told: Vec<_> = routers(5).iter_mut().map(refused).collect();
    let refused = told
        .iter()
        .filter(|t| matches!(t, Some(Problem::NotRun(_))));
    assert!(refused.count() >= 4, "{told:?}");
}

/// Nothing read the limit, so that an endpoint in need got as much as the others.
#[test]
fn processes_keep_together_to_the_limit_of_an_endpoint() {
    let dir = tempfile::tempdir().expect("a folder");
    let (standin, routers) = fleet(3, dir.path());
    let limit = 1.0;
    standin.world().limit("p0", Some(limit));
    let ask = |n: usize| {
        let router = &routers[n % routers.len()];
        let answer = call(router.callers, "GET", "/safe/x", &format!("limited-{n}"));
        assert_eq!(answer.map(|a| a.status), Some(200), "request {n}");
        std::thread::sleep(Duration::from_millis(10));
    };
    // By then both routers have heard of it.
    (0..20).for_each(ask);
    std::thread::sleep(Duration::from_millis(500));
    let begin = Instant::now();
    let mut sent = 20;
    while begin.elapsed() < SPAN + Duration::from_secs(1) {
        ask(sent);
        sent += 1;
    }
    let at_limited = standin.world().arrivals("p0", begin);
    assert!(most(&at_limited) <= allowed(limit), "{}", most(&at_limited));
    assert!(!at_limited.is_empty(), "it gets what it takes");
    let at_other = standin.world().arrivals("p1", begin);
    assert_eq!(at_limited.len() + at_other.len(), sent - 20);
    standin.world().limit("p0", None);
    std::thread::sleep(Duration::from_secs(3));
    let after = Instant::now();
    (sent..sent + 100).for_each(ask);
    let at_freed = standin.world().arrivals("p0", after).len();
    assert!(at_freed > 100 / 4, "{at_freed}");
}
