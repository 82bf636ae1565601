//! Limits of requests a second that endpoints name in their answers.

use std::time::{Duration, Instant};

use crate::processes::{call, fleet};

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
