//! Rate limits: requests a second that endpoints name in their answers.

use std::time::{Duration, Instant};

use runrail::logic::direct::{DirectEvent, PeerMessage, Problem, RunPart};
use runrail::types::{InstanceId, RequestRate};

use crate::fixture::{addr, plain, problem, run, Router};
use testkit::direct::{call, fleet};

/// The endpoint that names a limit, and another one.
const LIMITED: &str = "pe0";
const OTHER: &str = "pe1";

/// Window in which the requests at an endpoint are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Most requests that an endpoint may get in a window from all routers that know its limit.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Most requests in any window.
fn max_in_window(arrivals: &[Instant]) -> usize {
    let counts = arrivals.iter().map(|from| {
        let inside = arrivals
            .iter()
            .filter(|at| **at >= *from && **at < *from + WINDOW);
        inside.count()
    });
    counts.max().unwrap_or(0)
}

/// Routers that know each other and two endpoints.
fn routers(count: u16) -> Vec<Router> {
    let name = |n| InstanceId::new(&format!("r{n}"));
    let ids: Vec<_> = (0..count).map(name).collect();
    let router = |id: &InstanceId| Router::named(id.as_str(), &ids, vec![plain(0), plain(1)]);
    ids.iter().map(router).collect()
}

/// The endpoint answers a run and names a limit in thousandths of a request a second, or none.
fn answer_with_limit(router: &mut Router, run: Option<u64>, milli: Option<u64>) {
    router.tell(DirectEvent::RateLimit {
        id: InstanceId::new(LIMITED),
        run,
        rate: milli.map(RequestRate::from_milli),
    });
}

const ANSWERED: RunPart = RunPart::Complete {
    status: 200,
    not_run: false,
};

/// Sends requests to a router for `ms` milliseconds; returns the times at which it sent one to
/// the endpoint with the limit, in milliseconds.
fn send_requests(router: &mut Router, ms: u64, milli: Option<u64>) -> Vec<u64> {
    let mut sent = Vec::new();
    let end = router.now + ms;
    let mut id = 100;
    while router.now < end {
        id += 1;
        let to = run(&router.ask(id, "/safe/x"));
        if to.to.as_str() == LIMITED {
            sent.push(router.now);
            answer_with_limit(router, Some(to.run), milli);
        }
        router.part(to.run, ANSWERED);
        router.now += 20;
    }
    sent
}

/// Each router keeps to its share without a message from the others.
#[test]
fn routers_keep_together_to_the_limit_of_an_endpoint() {
    for count in [1, 5, 14, 52] {
        for milli in [0, 100, 400, 2_300, 4_800, 20_000] {
            let mut sent = Vec::new();
            for mut router in routers(count) {
                answer_with_limit(&mut router, None, Some(milli));
                sent.extend(send_requests(&mut router, 12_000, Some(milli)));
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

/// Guards against a router that exceeds a limit because it gets no answer from the endpoint
/// itself.
#[test]
fn a_limit_and_its_end_are_told_to_routers_that_hear_nothing_of_the_endpoint() {
    let mut all = routers(2);
    let mut second = all.pop().expect("a router");
    let mut first = all.pop().expect("a router");
    let forward_limits = |from: &mut Router, to: &mut Router| {
        for (_, message) in from.sent_messages() {
            if matches!(message, PeerMessage::Rate { .. }) {
                let from = addr(2_000);
                to.tell(DirectEvent::PeerMessage { from, message });
            }
        }
    };
    answer_with_limit(&mut first, None, Some(5_000));
    forward_limits(&mut first, &mut second);
    let limited = send_requests(&mut second, 4_000, Some(5_000)).len();
    assert!((5..=11).contains(&limited), "{limited}");
    send_requests(&mut first, 2_000, None);
    let over = PeerMessage::Rate {
        id: InstanceId::new(LIMITED),
        rate: None,
    };
    let from = addr(2_000);
    second.tell(DirectEvent::PeerMessage {
        from,
        message: over,
    });
    let free = send_requests(&mut second, 2_000, None).len();
    assert!(free > 30, "{free}");
}

/// A router broadcasts the end of a limit only after an answer to one of its own runs that was
/// sent since it knew the limit.
#[test]
fn the_first_answer_without_a_limit_ends_it_unless_its_request_is_older() {
    let mut router = routers(2).remove(0);
    let older = (0..2).map(|id| run(&router.ask(id, "/safe/x")));
    let older: Vec<_> = older.collect();
    let older = older.iter().find(|r| r.to.as_str() == LIMITED);
    let older = older.expect("a run at the endpoint").run;
    router.now += 20;
    answer_with_limit(&mut router, None, Some(5_000));
    answer_with_limit(&mut router, Some(older), None);
    let ends = |message: &PeerMessage| matches!(message, PeerMessage::Rate { rate: None, .. });
    assert!(!router.sent_messages().iter().any(|(_, m)| ends(m)));
    router.now += 1_000;
    let newer = (10..14).map(|id| run(&router.ask(id, "/safe/x")));
    let newer: Vec<_> = newer.collect();
    let newer = newer.iter().find(|r| r.to.as_str() == LIMITED);
    answer_with_limit(&mut router, newer.map(|r| r.run), None);
    assert!(router.sent_messages().iter().any(|(_, m)| ends(m)));
}

/// Guards against requests that wait for an endpoint whose limit this router has no share of.
#[test]
fn a_router_without_a_share_of_the_limit_refuses_at_once() {
    let refused = |router: &mut Router| {
        router.change(OTHER, None);
        answer_with_limit(router, None, Some(0));
        problem(&router.ask(1, "/safe/x"))
    };
    let answers: Vec<_> = routers(5).iter_mut().map(refused).collect();
    let refused = answers
        .iter()
        .filter(|a| matches!(a, Some(Problem::NotRun(_))));
    assert!(refused.count() >= 4, "{answers:?}");
}

/// Guards against a limit in an answer's headers that is not read, so that the endpoint gets
/// as many requests as the others.
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
    // After these all routers know the limit.
    (0..20).for_each(ask);
    std::thread::sleep(Duration::from_millis(500));
    let begin = Instant::now();
    let mut sent = 20;
    while begin.elapsed() < WINDOW + Duration::from_secs(1) {
        ask(sent);
        sent += 1;
    }
    let at_limited = standin.world().arrivals("p0", begin);
    assert!(
        max_in_window(&at_limited) <= allowed(limit),
        "{}",
        max_in_window(&at_limited)
    );
    assert!(!at_limited.is_empty(), "it still gets some");
    let at_other = standin.world().arrivals("p1", begin);
    assert_eq!(at_limited.len() + at_other.len(), sent - 20);
    standin.world().limit("p0", None);
    std::thread::sleep(Duration::from_secs(3));
    let after = Instant::now();
    (sent..sent + 100).for_each(ask);
    let at_freed = standin.world().arrivals("p0", after).len();
    assert!(at_freed > 100 / 4, "{at_freed}");
}
