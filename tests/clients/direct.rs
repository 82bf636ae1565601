//! Routers with direct links.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde_json::{json, Value};
use testkit::direct::{call, config, exchange, served, until, CallerRequest, Router, Standin};
use testkit::Crowd;

use crate::bodies::{
    legal_bodies, long_bodies, status_of, stuck, unfinished, whole_bodies, Sending,
};
use crate::crowd::{alone, check_beside, check_bounds, Bounds};

/// Published limit of a body.
const BODY_BYTES: usize = 4 * 1024 * 1024;

/// Clients of a crowd that fills memory.
const CLIENTS: usize = 64;

/// Descriptors of a process in the tests of connections, and clients of the crowd that would need more.
const DESCRIPTORS: usize = 128;
const STUCK_CLIENTS: usize = 320;

/// Descriptors of a process on the smallest machine.
const MAX_DESCRIPTORS: usize = 2_048;

/// Time limit for an answer beside a crowd: a caller that is told when to return does so.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Head of a request to the plain service, without the framing of its body.
const HEAD: &str = "POST /safe/crowd HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer k1\r\n\
    X-Deadline-Ms: 6000\r\n";

fn start(dir: &Path, descriptors: Option<usize>) -> (Standin, Router) {
    let standin = Standin::start(3, 2);
    let router = Router::start_limited("r1", standin.store, dir, "", descriptors);
    until("a stream is served", Duration::from_secs(30), || {
        served(&router, "first")
    });
    (standin, router)
}

/// Waits until an ordinary request to the plain service and a stream are answered.
fn wait_answered(router: &Router) {
    let mut n = 0;
    until("a request is answered", ANSWER_TIMEOUT, || {
        n += 1;
        let answer = call(router.callers, "GET", "/safe/x", &format!("after-{n}"));
        answer.is_some_and(|a| a.status == 200 && a.complete)
    });
    until("a stream is answered", ANSWER_TIMEOUT, || {
        n += 1;
        served(router, &format!("after-{n}"))
    });
}

fn bounds(router: &Router) -> Bounds {
    Bounds {
        pid: router.child.id(),
        descriptors: MAX_DESCRIPTORS,
    }
}

fn check_bodies(how: Sending, bytes: usize) {
    let _alone = alone();
    let dir = tempfile::tempdir().expect("a folder");
    let (_standin, router) = start(dir.path(), None);
    let crowd = legal_bodies(HEAD, CLIENTS, &vec![b'x'; bytes], how);
    let what = format!("{how:?}");
    check_beside(&what, router.callers, crowd, bounds(&router), || {
        wait_answered(&router);
    });
}

/// Guards against a router that is out of memory: only each body was bounded, not all of them together.
#[test]
fn large_bodies_at_once_stay_within_memory() {
    check_bodies(Sending::Whole, BODY_BYTES);
}

#[test]
fn large_bodies_piece_by_piece_stay_within_memory() {
    check_bodies(Sending::Pieces, BODY_BYTES);
}

#[test]
fn bodies_in_large_chunks_stay_within_memory() {
    check_bodies(Sending::Chunks(1024 * 1024), BODY_BYTES);
}

/// Guards against a router that keeps many times the length of a body of small chunks.
#[test]
fn bodies_in_small_chunks_stay_within_memory() {
    check_bodies(Sending::Chunks(1), 256 * 1024);
}

#[test]
fn bodies_far_over_the_limit_stay_within_memory() {
    let _alone = alone();
    let dir = tempfile::tempdir().expect("a folder");
    let (_standin, router) = start(dir.path(), None);
    let crowd = long_bodies(HEAD, CLIENTS, 4 * BODY_BYTES);
    check_beside("too long", router.callers, crowd, bounds(&router), || {
        wait_answered(&router);
    });
}

/// Guards against limits that refuse a proper request although nothing else is sent.
#[test]
fn a_body_of_the_largest_size_is_served_in_calm() {
    let _alone = alone();
    let dir = tempfile::tempdir().expect("a folder");
    let (_standin, router) = start(dir.path(), None);
    let body = "x".repeat(BODY_BYTES);
    let request = CallerRequest {
        path: "/safe/x",
        attempt: "largest",
        body: &body,
        ..CallerRequest::default()
    };
    let answer = exchange(router.callers, &request).expect("an answer");
    assert_eq!((answer.status, answer.complete), (200, true));
    for chunk in [1, 1024 * 1024] {
        let client = whole_bodies(HEAD, 1, body.as_bytes(), Sending::Chunks(chunk));
        assert_eq!(status_of(router.callers, &client[0]), Some(200), "{chunk}");
    }
    check_bounds("one at a time", bounds(&router));
}

/// Stuck clients at one listener, which open their connections again whenever they are closed.
fn check_stuck(listener: fn(&Router) -> SocketAddr) {
    let _alone = alone();
    let dir = tempfile::tempdir().expect("a folder");
    let (_standin, router) = start(dir.path(), Some(DESCRIPTORS));
    let crowd = Crowd::start(listener(&router), stuck(HEAD, STUCK_CLIENTS), true);
    crowd.wait_sent();
    let bounds = Bounds {
        pid: router.child.id(),
        descriptors: DESCRIPTORS,
    };
    check_bounds("stuck clients", bounds);
    wait_answered(&router);
    until("it is ready", ANSWER_TIMEOUT, || router.is_ready());
    check_bounds("stuck clients", bounds);
}

/// Guards against a router that has no descriptors left for callers and endpoints.
#[test]
fn stuck_callers_shut_nobody_out() {
    check_stuck(|router| router.callers);
}

#[test]
fn stuck_clients_at_the_readiness_check_shut_nobody_out() {
    check_stuck(|router| router.ready);
}

#[test]
fn stuck_clients_at_the_address_for_other_routers_shut_nobody_out() {
    check_stuck(|router| router.peers);
}

/// Guards against refusals that clients don't see: a close with unread bytes resets the connection.
#[test]
fn a_client_whose_body_is_too_long_is_told_so() {
    let _alone = alone();
    let dir = tempfile::tempdir().expect("a folder");
    let (_standin, router) = start(dir.path(), None);
    let bytes = BODY_BYTES + BODY_BYTES / 4;
    let announced = unfinished(HEAD, bytes, bytes);
    let body = vec![b'x'; bytes];
    let chunked = whole_bodies(HEAD, 1, &body, Sending::Chunks(64 * 1024)).remove(0);
    for client in [announced, chunked] {
        assert_eq!(status_of(router.callers, &client), Some(413));
    }
}

/// Guards against strangers that cost a body each.
#[test]
fn a_request_that_is_refused_by_its_head_costs_no_body() {
    let _alone = alone();
    let dir = tempfile::tempdir().expect("a folder");
    let (_standin, router) = start(dir.path(), None);
    for (from, to, status) in [("Bearer k1", "Bearer none", 401), ("/safe/", "/none/", 404)] {
        let client = unfinished(&HEAD.replace(from, to), BODY_BYTES, 0);
        assert_eq!(status_of(router.callers, &client), Some(status), "{to}");
    }
}

/// Guards against bodies that are waited for without end.
#[test]
fn a_body_that_stalls_or_outlives_its_deadline_is_ended() {
    let _alone = alone();
    let dir = tempfile::tempdir().expect("a folder");
    let (standin, router) = start(dir.path(), None);
    let late = unfinished(&HEAD.replace("6000", "300"), BODY_BYTES, 100);
    assert_eq!(status_of(router.callers, &late), Some(408), "late");
    let mut document: Value = serde_json::from_str(&config(2)).expect("JSON");
    document["Limits"] = json!({ "IdleTimeoutMs": 300 });
    standin.world().configure(&document.to_string());
    until("the limits are in force", ANSWER_TIMEOUT, || {
        router.routing() == Some(2)
    });
    let stalled = unfinished(HEAD, BODY_BYTES, 100);
    assert_eq!(status_of(router.callers, &stalled), Some(408), "stalled");
}
