//! Routers that reach endpoints through agents.

use std::net::SocketAddr;
use std::time::Duration;

use testkit::{
    post, until, Call, Chat, Crowd, CrowdClient, EngineParams, Fleet, FleetPlan, ProcessLimits,
    DESK_KEY, LONG,
};

use crate::bodies::{
    endless_chunk_lengths, legal_bodies, long_bodies, status_of, stuck, unfinished, whole_bodies,
    Sending,
};
use crate::crowd::{alone, check_beside, check_bounds, Bounds};
use crate::BINARY;

/// Default limit of a body.
const BODY_BYTES: usize = 1024 * 1024;

/// Clients of a crowd that fills memory.
const CLIENTS: usize = 160;

/// Requests that a router has open in the tests of stuck clients, and clients of the crowd.
const OPEN_REQUESTS: usize = 32;
const STUCK_CLIENTS: usize = 320;

/// Descriptors of a process in the tests of connections.
const DESCRIPTORS: usize = 128;

/// Descriptors of a process on the smallest machine.
const MAX_DESCRIPTORS: usize = 2_048;

fn head() -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: runrail\r\nAuthorization: Bearer {DESK_KEY}\r\n\
         Runrail-Class: urgent\r\n"
    )
}

fn operator_head() -> String {
    "POST /operator/v1/bundles HTTP/1.1\r\nHost: runrail\r\nAuthorization: Bearer anna\r\n".into()
}

fn operators(fleet: &Fleet) -> SocketAddr {
    fleet.routers["e1"].operators.expect("an address")
}

/// Waits until an ordinary request is answered and an operator is.
fn wait_answered(fleet: &Fleet) {
    let is_answered = || fleet.chat("e1", &Chat::default()).is_answered();
    assert!(until(LONG, is_answered), "no answer");
    let has_status = || fleet.status("e1")["groups"].is_array();
    assert!(until(LONG, has_status), "no status");
}

fn bounds(fleet: &Fleet) -> Bounds {
    Bounds {
        pid: fleet.routers["e1"].pid(),
        descriptors: MAX_DESCRIPTORS,
    }
}

/// A chat request whose body has about so many bytes.
fn chat_body(bytes: usize) -> String {
    let frame = Chat::default().to_call().body.len();
    let call = Chat {
        prompt: "word ".repeat((bytes - frame) / 5),
        pieces: 2,
        ..Chat::default()
    };
    call.to_call().body
}

fn check_bodies(how: Sending, bytes: usize) {
    let _alone = alone();
    let fleet = Fleet::serving(BINARY, &FleetPlan::default());
    let body = chat_body(bytes);
    for (addr, head) in [
        (fleet.callers("e1"), head()),
        (operators(&fleet), operator_head()),
    ] {
        let crowd = legal_bodies(&head, CLIENTS, body.as_bytes(), how);
        let what = format!("{how:?}");
        check_beside(&what, addr, crowd, bounds(&fleet), || wait_answered(&fleet));
    }
}

/// Guards against a router that is out of memory, or has no room for an ordinary caller: only each body was
/// bounded, not all of them together, and none in time.
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
    check_bodies(Sending::Chunks(256 * 1024), BODY_BYTES);
}

#[test]
fn bodies_in_small_chunks_stay_within_memory() {
    check_bodies(Sending::Chunks(1), 256 * 1024);
}

/// Guards against a leader that is out of memory: its queue was bounded by requests, not by bytes.
#[test]
fn whole_bodies_that_wait_stay_within_the_memory_of_each_process() {
    let _alone = alone();
    let plan = FleetPlan {
        engine: EngineParams {
            piece: Duration::from_millis(200),
            ..EngineParams::default()
        },
        ..FleetPlan::default()
    };
    let fleet = Fleet::serving(BINARY, &plan);
    let body = chat_body(BODY_BYTES);
    let crowd = whole_bodies(&head(), CLIENTS, body.as_bytes(), Sending::Whole);
    check_beside("whole", fleet.callers("e1"), crowd, bounds(&fleet), || {
        wait_answered(&fleet);
    });
    for (id, agent) in &fleet.agents {
        let bounds = Bounds {
            pid: agent.pid(),
            descriptors: MAX_DESCRIPTORS,
        };
        check_bounds(id, bounds);
    }
}

fn check_long(make: impl Fn(&str) -> Vec<CrowdClient>) {
    let _alone = alone();
    let fleet = Fleet::serving(BINARY, &FleetPlan::default());
    for (addr, head) in [
        (fleet.callers("e1"), head()),
        (operators(&fleet), operator_head()),
    ] {
        check_beside("too long", addr, make(&head), bounds(&fleet), || {
            wait_answered(&fleet);
        });
    }
}

/// Guards against a router that ends as it makes room for what a client has announced.
#[test]
fn bodies_far_over_the_limit_stay_within_memory() {
    check_long(|head| long_bodies(head, 64, 16 * BODY_BYTES));
}

/// Guards against a router that keeps the length of a chunk however long it is.
#[test]
fn lengths_of_chunks_without_end_stay_within_memory() {
    check_long(|head| endless_chunk_lengths(head, 8, 32 * BODY_BYTES));
}

fn check_stuck(limits: ProcessLimits, listener: fn(&Fleet) -> SocketAddr, head: &str) {
    let _alone = alone();
    let plan = FleetPlan {
        limits,
        ..FleetPlan::default()
    };
    let fleet = Fleet::serving(BINARY, &plan);
    let crowd = Crowd::start(listener(&fleet), stuck(head, STUCK_CLIENTS), true);
    crowd.wait_sent();
    let bounds = Bounds {
        descriptors: limits.descriptors.unwrap_or(MAX_DESCRIPTORS),
        ..bounds(&fleet)
    };
    check_bounds("stuck clients", bounds);
    wait_answered(&fleet);
    check_bounds("stuck clients", bounds);
}

/// Guards against stuck requests that take all the places of ordinary ones.
#[test]
fn stuck_callers_take_no_places_of_requests() {
    let limits = ProcessLimits {
        callers: Some(OPEN_REQUESTS),
        ..ProcessLimits::default()
    };
    check_stuck(limits, |fleet| fleet.callers("e1"), &head());
}

/// Guards against a router that has no descriptors left.
#[test]
fn stuck_callers_shut_nobody_out() {
    let limits = ProcessLimits {
        descriptors: Some(DESCRIPTORS),
        ..ProcessLimits::default()
    };
    check_stuck(limits, |fleet| fleet.callers("e1"), &head());
}

#[test]
fn stuck_operators_shut_nobody_out() {
    let limits = ProcessLimits {
        descriptors: Some(DESCRIPTORS),
        ..ProcessLimits::default()
    };
    check_stuck(limits, operators, &operator_head());
}

/// Guards against limits that refuse a proper request although nothing else is sent.
#[test]
fn a_body_of_the_largest_size_is_served_in_calm() {
    let _alone = alone();
    let fleet = Fleet::serving(BINARY, &FleetPlan::default());
    let call = Call {
        body: chat_body(BODY_BYTES),
        ..Chat::default().to_call()
    };
    let answer = post(fleet.callers("e1"), &call);
    assert!(
        answer.is_answered(),
        "{} {:?}",
        answer.status,
        answer.outcome
    );
    check_bounds("one at a time", bounds(&fleet));
}

/// Guards against refusals that clients don't see, and against strangers that cost a body each.
#[test]
fn clients_are_told_that_a_body_is_too_long_or_not_wanted() {
    let _alone = alone();
    let fleet = Fleet::serving(BINARY, &FleetPlan::default());
    let long = unfinished(&head(), 2 * BODY_BYTES, 2 * BODY_BYTES);
    assert_eq!(status_of(fleet.callers("e1"), &long), Some(413));
    let operator = operator_head();
    let stranger = operator.replace("Bearer anna", "Bearer none");
    for (head, status) in [(operator, 413), (stranger, 401)] {
        let client = unfinished(&head, 2 * BODY_BYTES, 0);
        assert_eq!(status_of(operators(&fleet), &client), Some(status));
    }
    let late = format!("{}Runrail-Deadline-Ms: 300\r\n", head());
    let late = unfinished(&late, BODY_BYTES, 100);
    assert_eq!(status_of(fleet.callers("e1"), &late), Some(408));
}
