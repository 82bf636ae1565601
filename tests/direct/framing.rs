//! Answers of endpoints that have neither a length nor chunks and end with their connections.

use testkit::direct::{call, fleet, logs, Answer, Cut, EVENTS};

/// Sends a stream request to a router whose endpoints answer without framing, and cut some streams.
fn stream(cuts: &[Cut]) -> Answer {
    let dir = tempfile::tempdir().expect("a folder");
    let (standin, routers) = fleet(9, dir.path());
    {
        let mut world = standin.world();
        world.unframed = true;
        world.cuts = cuts.iter().rev().copied().collect();
    }
    let answer = call(routers[0].callers, "POST", "/stream/x", "unframed");
    let left = standin.world().cuts.clone();
    assert_eq!(left, [], "{}", logs(dir.path()));
    answer.unwrap_or_else(|| panic!("no answer\n{}", logs(dir.path())))
}

fn assert_whole(answer: &Answer) {
    assert!(answer.status == 200 && answer.complete, "{answer:?}");
    let all: Vec<u64> = (1..=EVENTS).collect();
    assert_eq!(answer.events(), all, "each event once");
}

/// Guards against taking a missing length for an answer that broke off.
#[test]
fn an_unframed_stream_reaches_its_caller_whole() {
    assert_whole(&stream(&[]));
}

#[test]
fn an_unframed_answer_that_is_no_stream_reaches_its_caller_whole() {
    let dir = tempfile::tempdir().expect("a folder");
    let (standin, routers) = fleet(4, dir.path());
    standin.world().unframed = true;
    for attempt in ["u1", "u2"] {
        let answer = call(routers[0].callers, "POST", "/once/x", attempt).expect("an answer");
        assert!(answer.status == 200 && answer.complete, "{answer:?}");
        assert!(answer.body.contains("\"by\""), "{answer:?}");
    }
}

/// Guards against taking the end of the connection for the end of the stream: the event is
/// incomplete.
#[test]
fn an_unframed_stream_that_ends_inside_an_event_goes_on_at_another_head() {
    assert_whole(&stream(&[Cut::Inside(4)]));
    assert_whole(&stream(&[Cut::Inside(0)]));
}

/// Guards against an answer without any event that looks complete: only the end of the connection
/// says so, and an endpoint that crashes before its first event closes it as well.
#[test]
fn an_unframed_stream_without_any_event_goes_on_at_another_head() {
    assert_whole(&stream(&[Cut::Empty]));
}

/// Guards against a resumed stream whose second head crashes before its first event.
#[test]
fn an_unframed_stream_that_is_resumed_and_ends_at_once_goes_on_again() {
    assert_whole(&stream(&[Cut::Inside(4), Cut::Empty]));
    assert_whole(&stream(&[Cut::Inside(EVENTS - 1)]));
}

/// Guards against taking an answer that has no body by its nature for one that broke off.
#[test]
fn the_answer_to_a_head_request_is_complete_without_events() {
    let dir = tempfile::tempdir().expect("a folder");
    let (standin, routers) = fleet(9, dir.path());
    standin.world().unframed = true;
    let answer = call(routers[0].callers, "HEAD", "/stream/x", "head");
    let answer = answer.unwrap_or_else(|| panic!("no answer\n{}", logs(dir.path())));
    assert_eq!(answer.status, 200, "{}", logs(dir.path()));
    let sent_again = |line: &str| line.contains("E641") && line.contains("\"head\"");
    let logs = logs(dir.path());
    assert!(!logs.lines().any(sent_again), "{logs}");
}
