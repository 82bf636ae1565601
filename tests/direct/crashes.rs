//! Requests that crash the endpoints that run them.

use std::time::Duration;

use runrail::logic::direct::{
    DirectEffect, DirectEvent, DirectRequest, Fingerprint, LookResult, RunPart,
};
use runrail::types::{EndpointEntry, InstanceId};

use crate::fixture::{addr, open_group, request, Router};
use crate::processes::{fleet, send, until};
use crate::standin::FATAL;

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

/// Sends a request that crashes each endpoint that begins it; returns how many.
fn crash(router: &mut Router, request: DirectRequest) -> usize {
    router.take();
    router.tell(DirectEvent::Request(Box::new(request)));
    let mut crashes = 0;
    loop {
        let run = router.take().into_iter().find_map(|e| match e {
            DirectEffect::Run(run) => Some(run.run),
            _ => None,
        });
        let Some(run) = run else {
            return crashes;
        };
        crashes += 1;
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
        runrail::logic::Effect::Direct(DirectEffect::Look { id, .. }) => Some(id.to_string()),
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
        crashes += crash(&mut router, fatal(id));
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
    let mut crashes = 0;
    for id in 0..6 {
        let (here, there) = if id % 2 == 0 {
            (&mut first, &mut second)
        } else {
            (&mut second, &mut first)
        };
        crashes += crash(here, fatal(id));
        for (_, message) in here.said() {
            let from = addr(2_000);
            there.tell(DirectEvent::Peer { from, message });
        }
    }
    assert_eq!(crashes, MOST);
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
