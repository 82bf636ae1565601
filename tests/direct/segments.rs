//! Prompt segments that crash the endpoints that run requests with them.

use std::time::Duration;

use runrail::logic::direct::{
    DirectEffect, DirectEvent, DirectRequest, Fingerprint, ProbeResult, Problem, RunPart,
};
use runrail::logic::Effect;
use runrail::types::{EndpointEntry, InstanceId};

use crate::fixture::{addr, open_group, piece, problem, request, run, Router};
use testkit::direct::{exchange, fleet, logs, until, Answer, CallerRequest, EVENTS, FATAL_SEGMENT};

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
        answer_probes(router);
    }
}

/// Answers the probes of endpoints that have crashed: nothing listens there.
fn answer_probes(router: &mut Router) {
    let probes = router.effects.iter().filter_map(|e| match e {
        Effect::Direct(DirectEffect::Probe { id, .. }) => Some(id.to_string()),
        _ => None,
    });
    for id in probes.collect::<Vec<_>>() {
        router.answer_probe(&id, ProbeResult::Refused);
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
    let mut routers = [Router::planner(open_groups()), Router::new(open_groups())];
    for router in &mut routers {
        let peers = &mut router.state().peers;
        peers.insert(InstanceId::new("other"), addr(2_000));
    }
    routers
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
    assert_eq!(last, [Some(Problem::CrashesEndpoints); 2]);
    for router in [&mut first, &mut second] {
        serve(router, sound(200));
    }
}

/// Sends a stream request of its own, with the common segment and perhaps the fatal one.
fn send(router: &testkit::direct::Router, attempt: &str, is_fatal: bool) -> Option<Answer> {
    let fatal = if is_fatal { FATAL_SEGMENT } else { "50f7" };
    let segments = format!("c0de:5,{fatal}:3,0e:2");
    let request = CallerRequest {
        attempt,
        segments: &segments,
        body: attempt,
        ..CallerRequest::default()
    };
    exchange(router.callers, &request)
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
        send(&routers[router], &format!("segment-{sent}"), is_fatal)
    };
    until("sound requests are served", Duration::from_secs(20), || {
        (0..2).all(|n| is_whole(&attempt(n, false)))
    });
    let is_refused = |a: Option<Answer>| a.is_some_and(|a| a.status == 400);
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
