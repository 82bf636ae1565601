//! Concurrency limits: how many runs a router has at one head.

use runrail::logic::direct::{DirectEffect, DirectEvent, FeatureMode, Problem, RunPart};
use runrail::types::InstanceId;

use crate::fixture::{open_group, problem, request, run, Router};

#[test]
fn requests_that_begin_late_lower_the_limit_and_the_rest_waits_or_is_refused() {
    let mut router = Router::new(open_group("g", [1, 2, 3]));
    let mut runs = Vec::new();
    for id in 0..40 {
        runs.push(run(&router.ask(id, "/stream/x")).run);
    }
    for run in runs.drain(..20) {
        router.advance_ms(200);
        router.part(run, RunPart::Head);
    }
    router.take_effects();
    router.tell(DirectEvent::Request(Box::new(request(100, "/stream/x"))));
    let held = router.take_effects();
    assert!(held.is_empty(), "it waits first: {held:?}");
    router.advance_ms(1_300);
    let effects = router.take_effects();
    let refused = |e: &DirectEffect| {
        let problem = problem(std::slice::from_ref(e));
        let matches_id = matches!(e, DirectEffect::Refuse { request: 100, .. });
        matches_id && matches!(problem, Some(Problem::NotRun(_)))
    };
    assert!(effects.iter().any(refused), "{effects:?}");
    assert!(!effects.iter().any(|e| matches!(e, DirectEffect::Run(_))));
}

/// A request whose caller waits for less time than its route allows.
fn short_deadline(id: u64) -> DirectEvent {
    let mut request = request(id, "/stream/x");
    request.wait_ms = Some(3_000);
    DirectEvent::Request(Box::new(request))
}

/// Callers set deadlines of their own: a short one doesn't prove that the request was refused
/// before, nor that it is worth less.
#[test]
fn a_short_deadline_changes_neither_the_limit_nor_the_priority() {
    let mut router = Router::new(open_group("g", [1, 2, 3]));
    for id in 0..47 {
        router.ask(id, "/stream/x");
    }
    router.tell(short_deadline(100));
    assert_eq!(
        run(&router.take_effects()).priority,
        2,
        "the priority of any other"
    );
    router.tell(short_deadline(101));
    assert!(router.take_effects().is_empty(), "48 of 48");
}

#[test]
fn waiting_requests_are_sent_in_order_of_arrival_whatever_their_deadlines() {
    let mut router = Router::new(open_group("g", [1, 2, 3]));
    let mut runs: Vec<u64> = Vec::new();
    for id in 0..48 {
        runs.push(run(&router.ask(id, "/stream/x")).run);
    }
    router.tell(short_deadline(100));
    assert!(router.ask(101, "/stream/x").is_empty());
    let sent: Vec<u64> = runs
        .into_iter()
        .take(25)
        .flat_map(|run| router.part(run, RunPart::End))
        .filter_map(|e| match e {
            DirectEffect::Run(r) => Some(r.request),
            _ => None,
        })
        .collect();
    assert_eq!(sent, [100, 101]);
}

#[test]
fn a_waiting_request_is_sent_when_a_run_ends() {
    let mut router = Router::new(open_group("g", [1, 2, 3]));
    let first = run(&router.ask(0, "/stream/x"));
    for id in 1..48 {
        router.ask(id, "/stream/x");
    }
    assert!(router.ask(100, "/stream/x").is_empty());
    let effects = router.part(first.run, RunPart::End);
    let sent = |e: &&DirectEffect| matches!(e, DirectEffect::Run(r) if r.request == 100);
    assert_eq!(effects.iter().filter(sent).count(), 1);
}

#[test]
fn a_head_gets_no_more_prompts_at_once_than_its_streams_can_bear() {
    let mut router = Router::new(open_group("g", [1, 2, 3]));
    let mut sent = 0;
    for id in 0..6 {
        let mut request = request(id, "/stream/x");
        request.prompt_tokens = 6_000;
        router.tell(DirectEvent::Request(Box::new(request)));
    }
    let runs = |e: &DirectEffect| matches!(e, DirectEffect::Run(_));
    sent += router.take_effects().iter().filter(|e| runs(e)).count();
    // 60 % of a pause of 300 ms at 50 tokens per ms are 9,000 tokens, twice that for one router.
    assert_eq!(sent, 3);
}

/// One of so many routers; another one is the planner.
fn one_of(routers: usize) -> Router {
    let names: Vec<_> = (0..routers)
        .map(|n| InstanceId::new(&format!("r{n}")))
        .collect();
    Router::named("r1", &names, open_group("g", [1, 2, 3]))
}

fn limit(router: &mut Router) -> u64 {
    router.state().endpoints[&InstanceId::new("e1")].limit
}

/// Sends `count` requests one after another, each of which begins after `took` milliseconds.
fn send_requests(router: &mut Router, count: u64, took: u64) {
    for n in 0..count {
        let sent = run(&router.ask(1_000 + n, "/stream/x")).run;
        router.advance_ms(took);
        router.part(sent, RunPart::Head);
        router.part(sent, RunPart::End);
    }
}

/// A head has 48 slots. The routers' first limits together, and their lowest limits when
/// requests begin late, keep it from queueing.
#[test]
fn all_routers_together_send_about_what_a_head_has_slots_for() {
    for (routers, first, least) in [
        (5, 9_600_u64, 7_680),
        (14, 3_428, 2_742),
        (52, 2_000, 2_000),
    ] {
        let mut router = one_of(routers);
        let sent = (0..48).take_while(|id| !router.ask(*id, "/stream/x").is_empty());
        assert_eq!(
            sent.count() as u64,
            first.div_ceil(1_000),
            "{routers} routers"
        );
        let mut router = one_of(routers);
        send_requests(&mut router, 20, 450);
        assert_eq!(limit(&mut router), least, "{routers} routers");
    }
}

/// The objective is 400 ms. If the first token takes 240 ms without any queue, 300 ms are well
/// in time and 350 ms are not.
#[test]
fn a_limit_rises_while_requests_begin_in_half_of_the_time_that_a_queue_may_take() {
    for (took, rises) in [(300, true), (350, false)] {
        let mut router = one_of(14);
        send_requests(&mut router, 1, 240);
        let before = limit(&mut router);
        send_requests(&mut router, 4, took);
        assert_eq!(limit(&mut router) > before, rises, "{took} ms");
    }
}

/// Guards against a queue at the endpoint, which knows neither objectives nor client accounts: where
/// requests of a pool are admitted together, limits rise to little more than the even share.
#[test]
fn limits_stay_near_the_even_share_where_requests_are_admitted_together() {
    for (mode, most) in [(FeatureMode::Off, 48_000), (FeatureMode::On, 4_113)] {
        let mut router = one_of(14);
        router.state().params.features.admission = mode;
        send_requests(&mut router, 1_200, 200);
        assert_eq!(limit(&mut router), most, "{mode:?}");
    }
}
