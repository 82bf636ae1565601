//! Cold endpoints: what they bear is divided among all routers.

use runrail::logic::direct::{DirectEvent, RunPart};
use runrail::types::{EndpointEntry, InstanceId, RequestRate};

use crate::fixture::{at, engine, plain, routing, run, Router, FENCE};

/// The endpoint that is cold, and another one.
const COLD: &str = "pe0";
const OTHER: &str = "pe1";

/// Requests a second that a cold endpoint bears, and what all routers may send it in a second: half
/// as much again and five.
const RATE: u64 = 26;
const ALLOWED: usize = 44;

/// Time for which the endpoint is cold.
const COLD_MS: u64 = 3_000;

const ANSWERED: RunPart = RunPart::Complete {
    status: 200,
    not_run: false,
};

fn cold(mut found: (InstanceId, EndpointEntry), ms: u64) -> (InstanceId, EndpointEntry) {
    found.1.cold_ms = ms;
    found
}

/// Routers that know each other, with a routing that names the rate of cold endpoints.
fn routers(count: u16, entries: &[(InstanceId, EndpointEntry)]) -> Vec<Router> {
    let name = |n| InstanceId::new(&format!("r{n}"));
    let ids: Vec<_> = (0..count).map(name).collect();
    let router = |id: &InstanceId| {
        let mut router = Router::named(id.as_str(), &ids, Vec::new());
        router.state().params.cold_overage = 1_500;
        router.state().params.cold_slack = 5_000;
        let mut routing = routing(2);
        for spec in routing.services.values_mut() {
            let spec = std::sync::Arc::make_mut(spec);
            spec.cold_rate = Some(RequestRate::from_milli(RATE * 1_000));
        }
        router.tell(DirectEvent::Routing(routing.into()));
        router.tell(DirectEvent::ListRead {
            at: at(FENCE),
            entries: entries.to_vec(),
        });
        router
    };
    ids.iter().map(router).collect()
}

/// Sends a request every 20 ms; returns the times at which the cold endpoint got one.
fn send_requests(router: &mut Router, ms: u64) -> Vec<u64> {
    let mut sent = Vec::new();
    let end = router.now + ms;
    let mut id = 100;
    while router.now < end {
        id += 1;
        let to = run(&router.ask(id, "/safe/x"));
        if to.to.as_str() == COLD {
            sent.push(router.now);
        }
        router.part(to.run, ANSWERED);
        router.advance_ms(20);
    }
    sent
}

fn most_in_a_second(sent: &mut [u64]) -> usize {
    sent.sort_unstable();
    let within = |from: &u64| {
        let inside = sent
            .iter()
            .filter(|at| **at >= *from && **at < from + 1_000);
        inside.count()
    };
    sent.iter().map(within).max().unwrap_or(0)
}

#[test]
fn routers_send_a_cold_endpoint_together_no_more_than_it_bears() {
    for count in [1, 3, 15, 123] {
        let entries = [cold(plain(0), COLD_MS), plain(1)];
        let mut sent = Vec::new();
        for mut router in routers(count, &entries) {
            sent.extend(send_requests(&mut router, COLD_MS - 100));
        }
        let most = most_in_a_second(&mut sent);
        assert!(most <= ALLOWED, "{count} routers: {most}");
        let wanted = (RATE * COLD_MS / 1_000 / 2) as usize;
        assert!(sent.len() >= wanted, "{count} routers: {}", sent.len());
    }
}

#[test]
fn a_warm_endpoint_turns_cold_by_its_entry_or_its_answer_and_warm_by_time() {
    let by_entry = |router: &mut Router| {
        let (_, mut entry) = cold(plain(0), COLD_MS);
        entry.beats += 1;
        router.change(COLD, Some(entry));
    };
    let by_answer = |router: &mut Router| {
        let id = InstanceId::new(COLD);
        router.tell(DirectEvent::ColdNamed { id, ms: COLD_MS });
    };
    for turn in [by_entry as fn(&mut Router), by_answer] {
        let mut all = routers(1, &[plain(0), plain(1)]);
        let router = &mut all[0];
        let warm = send_requests(router, 2_000).len();
        turn(router);
        let cold = send_requests(router, 2_000).len();
        assert!(cold <= warm && cold <= 2 * ALLOWED, "{warm}, then {cold}");
        router.change(OTHER, None);
        router.advance_ms(COLD_MS);
        let after = send_requests(router, 2_000).len();
        assert!(after >= 90, "warm again: {after}");
    }
}

/// Guards against a router that has just started and takes the whole of a share, as it doesn't know
/// the others yet.
#[test]
fn a_router_that_does_not_know_the_others_sends_a_cold_endpoint_nothing() {
    let mut all = routers(1, &[]);
    let router = &mut all[0];
    router.state().retries_from = None;
    let entries = vec![cold(plain(0), COLD_MS), plain(1)];
    router.tell(DirectEvent::ListRead {
        at: at(FENCE + 1),
        entries,
    });
    assert_eq!(send_requests(router, 500), Vec::<u64>::new());
}

/// The list may be read before the routing that names the rate.
#[test]
fn a_cold_endpoint_that_is_known_before_the_routing_stays_cold() {
    let mut router = Router::bare();
    let entries = vec![cold(plain(0), COLD_MS), plain(1)];
    router.tell(DirectEvent::ListRead {
        at: at(FENCE),
        entries,
    });
    let mut routing = routing(2);
    for spec in routing.services.values_mut() {
        let rate = Some(RequestRate::from_milli(RATE * 1_000));
        std::sync::Arc::make_mut(spec).cold_rate = rate;
    }
    router.tell(DirectEvent::Routing(routing.into()));
    router.advance_ms(100);
    let sent = send_requests(&mut router, 1_000).len();
    assert!(sent <= ALLOWED && sent > 5, "{sent}");
}

/// Where an endpoint names no rate for its cold time, it is used as any other.
#[test]
fn a_service_without_a_rate_for_cold_endpoints_ignores_that_they_are_cold() {
    let mut router = Router::new(vec![cold(plain(0), COLD_MS)]);
    assert_eq!(send_requests(&mut router, 1_000).len(), 50);
}

#[test]
fn a_group_is_formed_with_a_warm_head() {
    let mut entries = vec![cold(engine(1, None), 60_000)];
    entries.extend([engine(2, None), engine(3, None)]);
    let mut all = routers(1, &entries);
    let router = &mut all[0];
    router.state().plan.has_traffic = true;
    router.state().plan.lease.holder = None;
    router.advance_ms(2_000);
    let joins = router.joins();
    let heads: Vec<_> = joins
        .iter()
        .map(|(_, members)| members[0].clone())
        .collect();
    assert!(
        !heads.is_empty() && !heads.contains(&"e1".to_string()),
        "{joins:?}"
    );
}
