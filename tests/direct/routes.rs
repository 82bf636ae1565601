//! Routes, client accounts and versions of the routing.

use std::sync::Arc;

use runrail::logic::direct::{DirectEvent, Problem};
use runrail::types::RouteKind;

use crate::fixture::{open_group, plain, problem, request, routing, run, Router};

/// Guards against `NoRoute` from a router that has neither the routing nor the endpoint list,
/// or only the routing.
#[test]
fn a_router_that_is_not_ready_answers_not_yet_and_never_no_route() {
    let mut router = Router::bare();
    assert_eq!(problem(&router.ask(1, "/stream/x")), None, "it waits");
    router.tell(DirectEvent::Routing(Arc::new(routing(1))));
    assert_eq!(problem(&router.ask(2, "/none/x")), None, "it waits");
    router.advance_ms(1_300);
    let refused = router.take_effects();
    let problems: Vec<_> = refused
        .iter()
        .filter_map(|e| problem(std::slice::from_ref(e)))
        .collect();
    assert_eq!(problems.len(), 2);
    assert!(
        problems.iter().all(|p| matches!(p, Problem::NotYet(_))),
        "{problems:?}"
    );
}

#[test]
fn the_longest_prefix_wins_and_an_older_version_changes_nothing() {
    let mut router = Router::new(vec![plain(1)]);
    let mut newer = routing(5);
    let mut longer = (**newer.route("a.example", "/safe/x").expect("a route")).clone();
    longer.prefix = "/safe/x/".into();
    longer.split = vec![("nowhere".into(), 1)];
    newer.add_route("a.example", longer);
    router.tell(DirectEvent::Routing(Arc::new(newer)));
    router.tell(DirectEvent::Routing(Arc::new(routing(4))));
    let version = router.state().routing.as_ref().map(|r| r.version);
    assert_eq!(version, Some(5));
    assert!(matches!(run(&router.ask(1, "/safe/y")).to.as_str(), "pe1"));
    let nowhere = router.ask(2, "/safe/x/y");
    assert!(!nowhere.iter().any(|e| format!("{e:?}").starts_with("Run")));
}

#[test]
fn an_unknown_key_is_refused_and_a_known_one_becomes_its_account() {
    let mut router = Router::new(open_group("g", [1, 2, 3]));
    let mut stranger = crate::fixture::request(1, "/stream/x");
    stranger.key = Some("other".to_string());
    router.tell(DirectEvent::Request(Box::new(stranger)));
    assert_eq!(problem(&router.take_effects()), Some(Problem::NoAccount));
    let sent = run(&router.ask(2, "/stream/x"));
    assert_eq!(sent.account.as_deref(), Some("ann"));
    assert_eq!(sent.to.as_str(), "e1", "only the head takes requests");
}

#[test]
fn a_split_follows_its_weights() {
    let mut route = (**routing(1).route("a.example", "/safe/").expect("a route")).clone();
    assert_eq!(route.kind, RouteKind::Safe);
    route.split = vec![("a".into(), 90), ("b".into(), 10)];
    let to_b = (0..100).filter(|n| route.service(*n).is_some_and(|s| &**s == "b"));
    assert_eq!(to_b.count(), 10);
}

/// Guards against refusals without a time to come back: after a restart of all routers such
/// callers return at once, to another router that has just started.
#[test]
fn callers_of_a_router_that_has_just_started_hear_when_to_come_back() {
    let mut router = Router::bare();
    for (left, most) in [(Some(6_000), 500), (Some(600), 150), (None, 500)] {
        let mut asked = request(1, "/stream/x");
        asked.wait_ms = left;
        router.tell(DirectEvent::Request(Box::new(asked)));
        router.advance_ms(left.unwrap_or(2_000) / 4 + 20);
        let Some(Problem::NotYet(again)) = problem(&router.take_effects()) else {
            panic!("refused");
        };
        assert!(again >= most / 2 && again <= most, "{left:?}: {again}");
    }
}
