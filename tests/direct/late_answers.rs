//! Endpoints that give an answer a second time, in place of the next one that is due.

use std::time::Duration;

use testkit::direct::{call, exchange, fleet, logs, until, CallerRequest};

/// Requests that are sent one after the other.
const REQUESTS: usize = 8;

/// Time from which an idle connection isn't used for what may not be repeated.
const REST: Duration = Duration::from_millis(1_700);

/// Time to wait that is over before an endpoint without room is tried again.
const NO_RETRY_MS: u64 = 45;

/// Guards against a request that runs although its caller is told that it didn't, or that runs twice:
/// the second copy of a refusal counted as the answer to the next send of the same request.
#[test]
fn a_refusal_that_comes_twice_is_no_answer_to_the_next_send_of_its_request() {
    let dir = tempfile::tempdir().expect("a directory");
    let (standin, routers) = fleet(3, dir.path());
    for id in ["p0", "p1"] {
        standin.world().repeat_answers(id, true);
    }
    let mut wrong = Vec::new();
    for n in 0..REQUESTS {
        for id in ["p0", "p1"] {
            standin.world().refuse(id, 1);
        }
        let attempt = format!("once-{n}");
        let answer = call(routers[0].callers, "POST", "/once/x", &attempt);
        let status = answer.map(|a| a.status);
        let runs = standin.world().once.get(&attempt).copied().unwrap_or(0);
        if runs > 1 || (runs == 1 && status == Some(503)) {
            wrong.push((attempt, runs, status));
        }
        std::thread::sleep(REST);
    }
    assert_eq!(wrong, [], "{}", logs(dir.path()));
}

/// Guards against a refusal without a label that counts for a request on whose connection it may be an
/// earlier request's: it came again in place of that request's answer.
#[test]
fn a_refusal_without_a_label_proves_nothing_on_a_connection_that_was_used_before() {
    let dir = tempfile::tempdir().expect("a directory");
    let (standin, routers) = fleet(3, dir.path());
    standin.kill("p1");
    // Before that it may still be sent there, and nobody knows whether it runs.
    until("the router knows that", Duration::from_secs(5), || {
        let logs = logs(dir.path());
        let own = logs.split("r2:\n").next().unwrap_or_default();
        own.contains("E611 endpoint no longer listed endpoint=\"p1\"")
    });
    standin.world().repeat_answers("p0", true);
    standin.world().refuse("p0", 1);
    // A request without a label gets a refusal without one, and there is no time to send it again.
    let unlabelled = CallerRequest {
        path: "/safe/x",
        wait_ms: NO_RETRY_MS,
        ..CallerRequest::default()
    };
    let first = exchange(routers[0].callers, &unlabelled).map(|a| a.status);
    assert_eq!(first, Some(503), "{}", logs(dir.path()));
    let mut wrong = Vec::new();
    for n in 0..4 {
        let attempt = format!("next-{n}");
        let status = call(routers[0].callers, "POST", "/once/x", &attempt).map(|a| a.status);
        let runs = standin.world().once.get(&attempt).copied().unwrap_or(0);
        if runs > 1 || (runs == 1 && status == Some(503)) {
            wrong.push((attempt, runs, status));
        }
    }
    assert_eq!(wrong, [], "{}", logs(dir.path()));
    assert_eq!(standin.world().repeated, 1);
}

/// Guards against members that are free too early: an answer to an earlier order that came twice counted
/// as the answer to the next one on its connection.
#[test]
fn an_order_is_sent_on_a_connection_of_its_own() {
    let dir = tempfile::tempdir().expect("a directory");
    let (standin, routers) = fleet(4, dir.path());
    let groups = standin.open_groups();
    standin.kill(&groups[0][1]);
    until("another group is open", Duration::from_secs(10), || {
        call(routers[0].callers, "POST", "/stream/x", "probe");
        let open = standin.open_groups();
        !open.is_empty() && open != groups
    });
    let (own, others) = standin.world().orders;
    assert!(own > 3, "{own}");
    assert_eq!(others, 0, "{}", logs(dir.path()));
}
