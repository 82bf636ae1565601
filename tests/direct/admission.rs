//! Admission: which of the requests that contend for the same endpoints get room.

use std::sync::Arc;
use std::time::{Duration, Instant};

use runrail::logic::direct::admission::{
    fair_order, largest_accounts, request_cost, PoolLoad, QueuedRequest, StartForecast, UsageTable,
    Verdict, WaitingCase, MAX_REPORTED,
};
use runrail::logic::direct::{
    AccountUse, DirectEffect, DirectEvent, DirectRequest, EndpointView, FeatureMode, PeerMessage,
    Precedence, Problem, RunPart,
};
use runrail::logic::Effect;
use runrail::types::{EngineModel, EngineSpec, InstanceId, KeyedAccount, Routing};

use testkit::direct::{
    contended_config, logs, send_as, start_routers_with, Router as Process, Standin,
};

use crate::fixture::{addr, open_group, piece, plain, problem, request, routing, run, Router};

fn name(text: &str) -> Arc<str> {
    text.into()
}

fn of(account: &str, used: u64) -> AccountUse {
    AccountUse {
        account: name(account),
        used,
    }
}

/// A use that never fell would shut an account out for good, one that fell at once wouldn't limit
/// it.
#[test]
fn the_use_of_an_account_halves_in_two_seconds_however_often_it_is_charged() {
    let ann = name("ann");
    let mut usage = UsageTable::default();
    usage.charge(1_000, &ann, 1_000_000);
    let left = usage.of(3_000, "ann");
    assert!((490_000..=510_000).contains(&left), "{left}");
    let mut in_steps = UsageTable::default();
    in_steps.charge(1_000, &ann, 1_000_000);
    for now in (1_000..=3_000).step_by(10) {
        in_steps.charge(now, &ann, 0);
    }
    let stepwise = in_steps.of(3_000, "ann");
    assert!(stepwise.abs_diff(left) < 1_000, "{stepwise} and {left}");
}

/// Memory would grow with the number of account names that callers come up with.
#[test]
fn a_flood_of_accounts_evicts_the_least_used_ones() {
    let mut usage = UsageTable::default();
    usage.charge(1_000, &name("large"), 1_000_000);
    let evicted = (0..5_000).filter(|n| usage.charge(1_000, &name(&format!("a{n}")), 10 + n));
    assert_eq!(evicted.count(), 5_000 + 1 - 1_024);
    assert_eq!(usage.len(), 1_024);
    assert_eq!(usage.of(1_000, "large"), 1_000_000);
    assert_eq!(usage.of(1_000, "a0"), 0);
    usage.on_tick(200_000);
    assert_eq!(usage.len(), 0, "uses that have decayed are forgotten");
}

/// A large account would get a full share at each router, and reports that stop coming would limit
/// it for good.
#[test]
fn use_through_other_routers_counts_for_two_seconds() {
    let mut usage = UsageTable::default();
    usage.charge(1_000, &name("ann"), 100);
    usage.on_totals(1_000, &[of("ann", 900), of("bob", 400)]);
    assert_eq!(
        usage.of(1_000, "ann"),
        900,
        "its own use isn't counted twice"
    );
    assert_eq!(usage.of(1_000, "bob"), 400);
    usage.charge(1_000, &name("ann"), 50);
    assert_eq!(usage.of(1_000, "ann"), 950);
    assert_eq!(usage.of(3_000, "bob"), 0, "the report has expired");
    assert!(usage.of(3_000, "ann") > 70, "what is known here is left");
}

/// A message that named all accounts wouldn't fit a datagram.
#[test]
fn a_report_names_the_largest_accounts_only() {
    let names: Vec<_> = (0..40).map(|n| name(&format!("a{n}"))).collect();
    let mine = names.iter().enumerate().map(|(n, a)| (a, n as u64));
    let theirs = [(&names[3], 1_000)];
    let largest = largest_accounts(mine.chain(theirs));
    assert_eq!(largest.len(), MAX_REPORTED);
    assert_eq!(largest[0], of("a3", 1_003));
    assert_eq!(largest[1], of("a39", 39));
}

fn queued(id: u64, account: &str) -> QueuedRequest<'_> {
    QueuedRequest {
        id,
        precedence: Precedence::Fresh,
        late: false,
        has_run: false,
        priority: 1,
        kept_appointment: false,
        account,
        cost: 10,
    }
}

fn order(requests: Vec<QueuedRequest>, used: impl Fn(&str) -> u64) -> Vec<u64> {
    fair_order(requests, 0, used).iter().map(|r| r.id).collect()
}

/// An account that was idle would get all room until it has used as much as the others.
#[test]
fn an_account_that_was_idle_is_only_a_few_requests_ahead() {
    let steady = (0..3).map(|id| queued(id, "steady"));
    let idle = (10..20).map(|id| queued(id, "idle"));
    let requests: Vec<_> = steady.chain(idle).collect();
    let used = |account: &str| if account == "steady" { 500 } else { 0 };
    let order = fair_order(requests, 500, used);
    let order: Vec<u64> = order.iter().map(|r| r.id).collect();
    assert_eq!(order[..8], [10, 11, 12, 13, 0, 14, 1, 15]);
}

/// Fairness must not delay streams that have begun, or let late work go before requests in time.
#[test]
fn resumed_streams_go_first_then_requests_in_time_by_priority_and_late_ones_last() {
    let requests = vec![
        QueuedRequest {
            late: true,
            priority: 0,
            ..queued(1, "idle")
        },
        queued(2, "large"),
        queued(3, "idle"),
        QueuedRequest {
            kept_appointment: true,
            ..queued(4, "large")
        },
        QueuedRequest {
            priority: 0,
            ..queued(5, "large")
        },
        QueuedRequest {
            precedence: Precedence::Resumed,
            priority: 3,
            ..queued(6, "large")
        },
    ];
    let used = |account: &str| if account == "large" { 500 } else { 0 };
    assert_eq!(order(requests, used), [6, 5, 4, 3, 2, 1]);
}

/// A late retry that goes last ends without its caller knowing whether it ran.
#[test]
fn late_requests_that_may_have_run_go_before_other_late_ones() {
    let late = |id, has_run| QueuedRequest {
        late: true,
        has_run,
        ..queued(id, "a")
    };
    let urgent = QueuedRequest {
        priority: 0,
        ..late(1, false)
    };
    let requests = vec![urgent, late(2, false), late(3, true), queued(4, "a")];
    assert_eq!(order(requests, |_| 0), [4, 3, 1, 2]);
}

/// A burst of one account would hold up all requests that arrive after it.
#[test]
fn a_burst_of_one_account_takes_turns_with_requests_that_arrive_later() {
    let burst = (0..5).map(|id| queued(id, "large"));
    let requests = burst.chain([queued(10, "b"), queued(11, "c"), queued(12, "b")]);
    assert_eq!(
        order(requests.collect(), |_| 0),
        [0, 10, 11, 1, 12, 2, 3, 4]
    );
}

/// An account with expensive requests would get more engine time than one with cheap ones.
#[test]
fn turns_are_weighed_by_cost() {
    let expensive = (0..2).map(|id| QueuedRequest {
        cost: 30,
        ..queued(id, "long")
    });
    let cheap = (10..14).map(|id| queued(id, "short"));
    let requests = expensive.chain(cheap).collect();
    assert_eq!(order(requests, |_| 0), [0, 10, 11, 12, 1, 13]);
}

#[test]
fn the_cost_of_a_request_is_its_reading_and_its_writing_time() {
    let engine = EngineSpec {
        slots: 48,
        step_us: 6_000,
        per_request_ns: 250_000,
        read_rate: 50_000,
        usual_prompt: 500,
        usual_answer: 100,
        models: vec![EngineModel {
            name: "small".into(),
            size: 4,
            pace: 500,
            share: 1_000,
            load_ms: 0,
            warm_ms: 0,
        }],
        ..EngineSpec::default()
    };
    // 20 ms of reading and 100 steps of 12 ms.
    let full = request_cost(Some(&engine), None, (1_000, 100));
    assert_eq!(full, 1_220_000);
    assert_eq!(
        request_cost(Some(&engine), Some("small"), (1_000, 100)),
        610_000
    );
    assert_eq!(request_cost(Some(&engine), None, (0, 0)), 1_210_000);
    let plain = |lengths| request_cost(None, None, lengths);
    assert_eq!(plain((10, 10)), plain((0, 0)));
}

/// With the mean alone, half of the requests that count as in time would begin late.
#[test]
fn the_forecast_is_the_mean_difference_and_a_deviation() {
    let mut start = StartForecast::default();
    start.learn(150, 50);
    start.learn(150, 50);
    assert_eq!(start.forecast(50), None, "too little was measured");
    for _ in 0..40 {
        start.learn(150, 50);
    }
    let steady = start.forecast(50).expect("a forecast");
    assert!((148..=156).contains(&steady), "{steady}");
    assert_eq!(start.forecast(150), Some(steady + 100));
    for n in 0..40 {
        start.learn(if n % 2 == 0 { 100 } else { 200 }, 50);
    }
    let spread = start.forecast(50).expect("a forecast");
    assert!((180..=230).contains(&spread), "{spread}");
    start.learn(60_000, 50);
    let after = start.forecast(50).expect("a forecast");
    assert!(after < spread + 500, "one outlier: {after}");
}

/// A lone request that waits too long, with nobody to make room for, would be refused.
#[test]
fn a_pool_is_contended_for_a_second_after_another_request_was_late_or_refused() {
    let mut load = PoolLoad::default();
    assert!(!load.is_contended(1_000));
    load.on_contention(1_000, 7);
    assert!(load.is_contended(1_999));
    assert!(!load.is_contended_for(1_100, 7), "not by itself");
    assert!(load.is_contended_for(1_100, 8));
    load.on_contention(1_200, 8);
    assert!(load.is_contended_for(1_300, 7) && load.is_contended_for(1_300, 8));
    assert!(!load.is_contended(2_200));
}

#[test]
fn the_wait_follows_from_the_place_and_the_rate_of_the_last_second() {
    let mut load = PoolLoad::default();
    assert_eq!(load.send_delay(1_000, 0), None);
    for n in 0..20 {
        load.on_sent(1_000 + n * 50);
    }
    assert_eq!(load.send_delay(1_999, 0), Some(50));
    assert_eq!(load.send_delay(1_999, 3), Some(200));
    assert_eq!(load.send_delay(3_500, 0), None, "nothing was sent lately");
}

/// The first requests of a burst after a calm time would all be refused: few were sent in the second
/// before.
#[test]
fn the_wait_after_a_calm_time_follows_from_the_duration_of_runs() {
    let mut load = PoolLoad::default();
    load.on_sent(1_000);
    load.set_running(4);
    assert_eq!(load.send_delay(1_500, 0), Some(1_000));
    for _ in 0..50 {
        load.on_run_completed(200);
    }
    assert_eq!(load.send_delay(1_500, 0), Some(50));
    assert_eq!(load.send_delay(1_500, 3), Some(200));
    load.set_running(0);
    assert_eq!(load.send_delay(3_000, 0), None, "no endpoint answers");
}

/// Refusals that come late cost callers their second attempt, and refusals without contention cost
/// them an answer.
#[test]
fn under_contention_a_request_that_can_t_begin_in_time_is_refused_early() {
    let case = WaitingCase {
        waited: 0,
        target: 400,
        forecast: 150,
        send_delay: Some(200),
        contended: true,
    };
    assert_eq!(case.verdict(), Verdict::Wait, "350 of 400 ms");
    let slow = WaitingCase {
        send_delay: Some(300),
        ..case
    };
    assert_eq!(slow.verdict(), Verdict::Refuse);
    let stopped = WaitingCase {
        send_delay: None,
        ..case
    };
    assert_eq!(stopped.verdict(), Verdict::Refuse);
    let calm = WaitingCase {
        contended: false,
        ..slow
    };
    assert_eq!(calm.verdict(), Verdict::Wait);
    let past_quarter = WaitingCase {
        waited: 120,
        ..slow
    };
    assert_eq!(past_quarter.verdict(), Verdict::Wait);
    let late = WaitingCase {
        waited: 251,
        ..case
    };
    assert!(late.is_late());
    assert_eq!(late.verdict(), Verdict::Refuse);
}

/// Routing with accounts `a0` to `a9`, which have the keys `k0` to `k9`, and another streaming route
/// that comes first by name.
fn ten_accounts(version: u64) -> Routing {
    let mut routing = routing(version);
    for n in 0..10 {
        let account = KeyedAccount {
            name: format!("a{n}").into(),
            priority: None,
        };
        routing
            .accounts
            .insert(format!("k{n}").into(), Arc::new(account));
    }
    let stream = routing.route("a.example", "/stream/x").expect("a route");
    let other = runrail::types::RouteSpec {
        name: "/a/".into(),
        prefix: "/a/".into(),
        ..(**stream).clone()
    };
    routing.add_route("a.example", other);
    routing
}

/// A router with one head, on which admission is switched on.
fn router() -> Router {
    let mut router = Router::new(open_group("g", [1, 2, 3]));
    router.state().params.features.admission = FeatureMode::On;
    router.tell(DirectEvent::Routing(Arc::new(ten_accounts(2))));
    router.take_effects();
    router
}

/// A request of account `a<account>`.
fn by(account: u64, id: u64, path: &str) -> DirectRequest {
    DirectRequest {
        key: Some(format!("k{account}")),
        ..request(id, path)
    }
}

fn sent(effects: &[DirectEffect]) -> Vec<(u64, u64)> {
    let run = |e: &DirectEffect| match e {
        DirectEffect::Run(run) => Some((run.request, run.run)),
        _ => None,
    };
    effects.iter().filter_map(run).collect()
}

fn refused(effects: &[DirectEffect]) -> Vec<u64> {
    let refuse = |e: &DirectEffect| match e {
        DirectEffect::Refuse { request, .. } => Some(*request),
        _ => None,
    };
    effects.iter().filter_map(refuse).collect()
}

/// Fills the head with 48 runs of account `a9`, each of which begins after `took` milliseconds.
fn fill(router: &mut Router, took: u64) -> Vec<u64> {
    let runs: Vec<u64> = (0..48)
        .map(|id| run(&router.ask_for(by(9, id, "/stream/x"))).run)
        .collect();
    router.advance_ms(took);
    for run in &runs {
        router.part(*run, RunPart::Head);
    }
    runs
}

/// Advances the clock while the head sends events of this run, so that it isn't taken to be silent.
fn go_on(router: &mut Router, run: u64, ms: u64) -> Vec<DirectEffect> {
    let mut effects = Vec::new();
    for _ in 0..ms / 20 {
        router.advance_ms(20);
        effects.extend(router.take_effects());
        effects.extend(router.part(run, piece(router.now)));
    }
    effects
}

/// Ends runs one after another, and returns the requests that are sent then.
fn end_runs(router: &mut Router, runs: &[u64]) -> Vec<u64> {
    let ended = runs.iter().flat_map(|run| {
        let effects = router.part(*run, RunPart::End);
        sent(&effects).into_iter().map(|(request, _)| request)
    });
    ended.collect()
}

/// A large account that has filled the head would also get the next room, because its requests
/// have waited longest.
#[test]
fn the_account_that_used_least_goes_first_whatever_the_route() {
    let mut router = router();
    let runs = fill(&mut router, 100);
    for (id, (account, path)) in [(9, "/a/x"), (9, "/stream/x"), (1, "/stream/x"), (2, "/a/x")]
        .into_iter()
        .enumerate()
    {
        let effects = router.ask_for(by(account, 100 + id as u64, path));
        assert!(effects.is_empty(), "{effects:?}");
    }
    assert_eq!(end_runs(&mut router, &runs[..4]), [102, 103, 100, 101]);
    assert_eq!(router.state().admission.usage.len(), 3);
}

/// The bound has to hold over several events: an account that was idle would start anew at each.
#[test]
fn an_account_that_was_idle_gets_no_more_than_a_few_requests_before_the_others() {
    let mut router = router();
    let runs = fill(&mut router, 100);
    for id in 100..109 {
        assert!(router.ask_for(by(1, id, "/stream/x")).is_empty());
    }
    for id in 109..112 {
        assert!(router.ask_for(by(9, id, "/stream/x")).is_empty());
    }
    let order = end_runs(&mut router, &runs[..12]);
    let first = order.iter().position(|id| *id == 109).expect("sent");
    let last = order.iter().position(|id| *id == 111).expect("sent");
    assert!((4..=6).contains(&first) && last <= 10, "{order:?}");
}

/// A request that arrives when room has just become free would overtake those that wait.
#[test]
fn a_request_that_arrives_takes_its_place_in_the_order() {
    let mut router = router();
    let runs = fill(&mut router, 100);
    assert!(router.ask_for(by(1, 100, "/stream/x")).is_empty());
    router
        .state()
        .endpoints
        .get_mut(&InstanceId::new("e1"))
        .expect("a head")
        .running -= 1;
    let effects = router.ask_for(by(9, 101, "/stream/x"));
    let first: Vec<u64> = sent(&effects).into_iter().map(|(id, _)| id).collect();
    assert_eq!(first, [100]);
    assert_eq!(end_runs(&mut router, &runs[..1]), [101]);
}

/// A request that may not go back to a head would keep all others from the room there.
#[test]
fn a_retried_request_blocks_nobody() {
    let mut router = router();
    fill(&mut router, 100);
    assert!(router.ask_for(by(1, 100, "/stream/x")).is_empty());
    let head = InstanceId::new("e1");
    let view = router.state().endpoints.get_mut(&head).expect("a head");
    view.running -= 1;
    let epoch = view.epoch();
    let flight = router.state().in_flight.get_mut(&100).expect("waiting");
    flight.tried.push((head, epoch));
    let effects = router.ask_for(by(2, 101, "/stream/x"));
    let first: Vec<u64> = sent(&effects).into_iter().map(|(id, _)| id).collect();
    assert_eq!(first, [101]);
}

/// A retry after a long run would be refused beside a free head.
#[test]
fn a_retry_past_its_wait_is_sent_if_there_is_room() {
    let mut router = router();
    let runs = fill(&mut router, 100);
    for (id, entry) in open_group("h", [4, 5, 6]) {
        router.change(id.as_str(), Some(entry));
    }
    let other = InstanceId::new("e4");
    let running = |router: &mut Router, runs| {
        router
            .state()
            .endpoints
            .get_mut(&other)
            .expect("a head")
            .running = runs;
    };
    running(&mut router, 48);
    assert!(router.ask_for(by(1, 100, "/stream/x")).is_empty());
    running(&mut router, 46);
    let now = router.now;
    let flight = router.state().in_flight.get_mut(&0).expect("running");
    flight.wait_until = now;
    let effects = router.part(
        runs[0],
        RunPart::Complete {
            status: 503,
            not_run: true,
        },
    );
    assert!(refused(&effects).is_empty(), "{effects:?}");
    assert!(sent(&effects).iter().any(|(id, _)| *id == 0), "{effects:?}");
}

/// Requests would be refused in the same tick in which a head can be sent to again.
#[test]
fn what_time_frees_is_used_before_waiting_requests_are_judged() {
    let mut router = router();
    let until = router.now + 20;
    let head = InstanceId::new("e1");
    let view = router.state().endpoints.get_mut(&head).expect("a head");
    view.backoff_until = until;
    for id in 100..102 {
        assert!(router.ask_for(by(1, id, "/stream/x")).is_empty());
    }
    let now = router.now;
    for pool in router.state().admission.pools.values_mut() {
        pool.load.on_contention(now, 999);
    }
    router.advance_ms(20);
    let effects = router.take_effects();
    assert!(refused(&effects).is_empty(), "{effects:?}");
    assert_eq!(sent(&effects).len(), 2);
}

/// A prompt that is too long for a route with short pauses would hold up one whose route allows more.
#[test]
fn a_blocked_prompt_holds_up_only_those_with_as_short_pauses() {
    let mut router = router();
    let runs = fill(&mut router, 100);
    let long = |account, id| DirectRequest {
        prompt_tokens: 1_000,
        ..by(account, id, "/stream/x")
    };
    for id in [100, 101] {
        assert!(router.ask_for(long(id - 99, id)).is_empty());
    }
    let wide = router.state().in_flight.get_mut(&101).expect("waiting");
    Arc::make_mut(&mut wide.route).gap_ms *= 100;
    let head = InstanceId::new("e1");
    let view = router.state().endpoints.get_mut(&head).expect("a head");
    view.unread_tokens = 18_000;
    assert_eq!(end_runs(&mut router, &runs[..2]), [101]);
}

/// Callers that are refused late have no time for a second attempt.
#[test]
fn under_contention_what_can_t_begin_in_time_is_refused_within_a_quarter_of_its_objective() {
    let mut router = router();
    let runs = fill(&mut router, 100);
    assert!(router.ask_for(by(1, 100, "/stream/x")).is_empty());
    let effects = go_on(&mut router, runs[0], 320);
    assert!(refused(&effects).is_empty(), "there is no contention");
    let effects = router.ask_for(by(2, 101, "/stream/x"));
    assert!(
        effects.is_empty(),
        "the first one is late, but 48 were sent in a second"
    );
    let effects = go_on(&mut router, runs[0], 600);
    assert_eq!(refused(&effects), [101, 100], "late as well");
    router.effects.clear();
    router.tell(DirectEvent::Request(Box::new(by(3, 102, "/stream/x"))));
    let reasons = refusal_reasons(&router);
    let effects = router.take_effects();
    assert_eq!(refused(&effects), [102], "nothing is sent any more");
    assert!(matches!(problem(&effects), Some(Problem::NotRun(_))));
    assert_eq!(
        reasons,
        ["it can't begin in time: its heads are at their limit of runs"]
    );
    assert_eq!(router.state().admission.refused, 3);
}

/// An operator who reads the reason looks for room at a head that has some.
#[test]
fn a_refusal_names_the_limit_that_applied() {
    let reason = |change: &dyn Fn(&mut Router), prompt: u32| {
        let mut router = router();
        let runs = fill(&mut router, 100);
        for id in 100..102 {
            assert!(router.ask_for(by(1, id, "/stream/x")).is_empty());
        }
        go_on(&mut router, runs[0], 1_200);
        change(&mut router);
        router.effects.clear();
        let request = DirectRequest {
            prompt_tokens: prompt,
            ..by(2, 200, "/stream/x")
        };
        router.tell(DirectEvent::Request(Box::new(request)));
        refusal_reasons(&router).pop().unwrap_or_default()
    };
    fn head(router: &mut Router) -> &mut EndpointView {
        let id = InstanceId::new("e1");
        router.state().endpoints.get_mut(&id).expect("a head")
    }
    let full = reason(&|_| {}, 100);
    assert!(
        full.ends_with("its heads are at their limit of runs"),
        "{full}"
    );
    let reads = |router: &mut Router| {
        head(router).running = 10;
        head(router).unread_tokens = 18_000;
        router.state().queues.clear();
    };
    let reading = reason(&reads, 1_000);
    assert!(reading.ends_with("other prompts to read"), "{reading}");
    let backs_off = |router: &mut Router| {
        head(router).backoff_until = router.now + 1_000;
    };
    let backed_off = reason(&backs_off, 100);
    assert!(backed_off.ends_with("or backed off from"), "{backed_off}");
}

fn refusal_reasons(router: &Router) -> Vec<String> {
    let reasons = router.effects.iter().filter_map(|e| match e {
        Effect::Log(event) if event.code.number() == 643 => {
            let field = event.fields.iter().find(|(name, _)| *name == "why");
            field.map(|(_, why)| why.clone())
        }
        _ => None,
    });
    reasons.collect()
}

/// A request that waits alone would be refused although nobody needs its place.
#[test]
fn without_contention_a_late_request_waits_for_a_late_answer() {
    let mut router = router();
    let runs = fill(&mut router, 100);
    assert!(router.ask_for(by(1, 100, "/stream/x")).is_empty());
    let effects = go_on(&mut router, runs[0], 900);
    assert!(refused(&effects).is_empty());
    let ended = end_runs(&mut router, &runs);
    assert_eq!(ended, [100]);
    assert_eq!(router.state().admission.late, 1);
}

/// Two late requests would both hold on, each as the reason for the other to be refused.
#[test]
fn a_request_that_becomes_late_under_contention_is_refused_then() {
    let mut router = router();
    fill(&mut router, 100);
    assert!(router.ask_for(by(1, 100, "/stream/x")).is_empty());
    router.advance_ms(60);
    assert!(router.ask_for(by(2, 101, "/stream/x")).is_empty());
    let mut gone = Vec::new();
    for _ in 0..30 {
        router.advance_ms(20);
        gone.extend(refused(&router.take_effects()));
    }
    assert_eq!(
        gone,
        [101, 100],
        "the first is late alone until the second one is"
    );
}

/// Late work that is sent before work in time makes that late as well.
#[test]
fn late_requests_get_what_those_in_time_leave() {
    let mut router = router();
    let runs = fill(&mut router, 100);
    assert!(router.ask_for(by(1, 100, "/stream/x")).is_empty());
    go_on(&mut router, runs[0], 400);
    for id in 101..103 {
        assert!(router.ask_for(by(9, id, "/stream/x")).is_empty());
    }
    assert_eq!(end_runs(&mut router, &runs[..19]), [101, 102]);
    assert_eq!(
        end_runs(&mut router, &runs[19..22]),
        [100],
        "below 60 % of 48"
    );
}

/// What the caller observes is the wait in the router and the time at the head.
#[test]
fn a_limit_is_judged_by_what_was_left_of_the_objective() {
    for (waited, lowered) in [(40, false), (200, true)] {
        let mut router = router();
        let runs = fill(&mut router, 100);
        let head = InstanceId::new("e1");
        router
            .state()
            .endpoints
            .get_mut(&head)
            .expect("a head")
            .limit = 48_000;
        assert!(router.ask_for(by(1, 100, "/stream/x")).is_empty());
        go_on(&mut router, runs[1], waited);
        let effects = router.part(runs[0], RunPart::End);
        let begun = sent(&effects)[0].1;
        // The objective is 400 ms.
        go_on(&mut router, runs[1], 300);
        router.part(begun, RunPart::Head);
        let limit = router.state().endpoints[&head].limit;
        assert_eq!(limit < 48_000, lowered, "{waited} ms waited: {limit}");
    }
}

/// A request that was sent late begins late however little runs at its head.
#[test]
fn a_request_that_was_sent_late_doesn_t_lower_the_limit() {
    let mut router = router();
    let runs = fill(&mut router, 100);
    let head = InstanceId::new("e1");
    router
        .state()
        .endpoints
        .get_mut(&head)
        .expect("a head")
        .limit = 48_000;
    assert!(router.ask_for(by(1, 100, "/stream/x")).is_empty());
    go_on(&mut router, runs[0], 500);
    let late: Vec<u64> = runs
        .iter()
        .flat_map(|run| sent(&router.part(*run, RunPart::End)))
        .map(|(_, run)| run)
        .collect();
    assert_eq!(late.len(), 1);
    router.advance_ms(600);
    router.part(late[0], RunPart::Head);
    assert_eq!(router.state().endpoints[&head].limit, 48_000);
}

/// The queues are keyed otherwise with the switch on: a request that waits under the other key
/// would never be sent, and hold up those behind it.
#[test]
fn no_request_is_lost_when_the_switch_changes_while_it_waits() {
    let mut router = router();
    router.state().params.features.admission = FeatureMode::Auto;
    let runs = fill(&mut router, 100);
    let contended = |version, contended: bool| {
        let mut routing = ten_accounts(version);
        let mut pool = (*routing.services["pool"]).clone();
        let engine = pool.engine.as_mut().expect("an engine");
        engine.per_request_ns = if contended { 200_000 } else { 0 };
        routing.services.insert("pool".into(), Arc::new(pool));
        DirectEvent::Routing(Arc::new(routing))
    };
    for (version, id) in [(3, 100), (4, 101), (5, 102)] {
        let effects = router.ask_for(by(id - 99, id, "/stream/x"));
        assert!(sent(&effects).is_empty() && refused(&effects).is_empty());
        router.tell(contended(version, version % 2 == 1));
    }
    let mut order = end_runs(&mut router, &runs[..3]);
    order.sort_unstable();
    assert_eq!(order, [100, 101, 102]);
    assert!(router.state().queues.values().all(|q| q.waiting.is_empty()));
}

/// A waiting request would change its place, or count for another account, halfway.
#[test]
fn a_waiting_request_keeps_the_priority_and_the_account_that_it_was_admitted_with() {
    let mut router = router();
    let runs = fill(&mut router, 100);
    assert!(router.ask_for(by(1, 100, "/stream/x")).is_empty());
    assert!(router.ask_for(by(2, 101, "/a/x")).is_empty());
    let mut changed = ten_accounts(3);
    let demoted = KeyedAccount {
        name: "a9".into(),
        priority: Some(5),
    };
    changed.accounts.insert("k1".into(), Arc::new(demoted));
    changed.accounts.remove("k2");
    router.tell(DirectEvent::Routing(Arc::new(changed)));
    assert_eq!(end_runs(&mut router, &runs[..2]), [100, 101]);
    assert!(router
        .state()
        .admission
        .usage
        .own(0)
        .any(|(account, _)| &**account == "a1"));
}

/// An ablation would measure the part that it is meant to leave out.
#[test]
fn the_policy_setting_switches_admission_off() {
    let mut router = router();
    router
        .state()
        .params
        .disabled
        .insert(runrail::logic::direct::Mechanism::Admission);
    let runs = fill(&mut router, 100);
    for (id, path) in [(100, "/stream/x"), (101, "/a/x")] {
        assert!(router.ask_for(by(1, id, path)).is_empty());
    }
    assert_eq!(end_runs(&mut router, &runs[..2]), [101, 100], "by route");
    assert!(router.state().admission.usage.is_empty());
}

/// Plain services have no first event of a stream: what is learnt of them is the whole answer.
#[test]
fn the_forecast_of_a_plain_service_is_learnt_from_its_answers() {
    let mut router = Router::new(vec![plain(1), plain(2)]);
    router.state().params.features.admission = FeatureMode::On;
    for id in 0..8 {
        let sent = run(&router.ask(id, "/safe/x"));
        router.advance_ms(60);
        router.part(
            sent.run,
            RunPart::Complete {
                status: 200,
                not_run: false,
            },
        );
    }
    router.advance_ms(20);
    let pools = &router.state().admission.pools;
    assert_eq!(pools.len(), 1);
    let forecast = pools.values().next().and_then(|pool| pool.forecast);
    assert!(
        forecast.is_some_and(|ms| (60..=100).contains(&ms)),
        "{forecast:?}"
    );
    router.advance_ms(11_000);
    assert!(router.state().admission.pools.is_empty(), "long unused");
}

/// A lost router or caller would leave the request in the queue.
#[test]
fn a_caller_that_leaves_frees_its_place() {
    let mut router = router();
    let runs = fill(&mut router, 100);
    assert!(router.ask_for(by(1, 100, "/stream/x")).is_empty());
    assert!(router.ask_for(by(2, 101, "/stream/x")).is_empty());
    router.tell(DirectEvent::CallerGone(100));
    assert_eq!(end_runs(&mut router, &runs[..2]), [101]);
}

/// Model names come from callers: each would keep a pool.
#[test]
fn requests_for_unknown_models_leave_nothing_behind() {
    let mut router = router();
    for id in 0..50 {
        let mut unknown = by(1, id, "/stream/x");
        unknown.model = Some(format!("model-{id}").into());
        assert_eq!(refused(&router.ask_for(unknown)), [id]);
    }
    router.advance_ms(40);
    assert!(router.state().admission.pools.is_empty());
    assert!(router.state().queues.is_empty());
}

/// Accounts in the digests that a router sends within a second.
fn accounts_in_digests(router: &mut Router) -> Vec<Vec<AccountUse>> {
    router.take_effects();
    router.advance_ms(1_000);
    let messages = router.sent_messages().into_iter();
    let digests = messages.filter_map(|(_, message)| match message {
        PeerMessage::Digest(digest) => Some(digest.accounts),
        _ => None,
    });
    digests.collect()
}

/// A router whose large account is served by another router would give it a full share more.
#[test]
fn routers_learn_the_largest_accounts_from_the_planner() {
    let names: Vec<_> = ["r0", "r1"].map(InstanceId::new).to_vec();
    let mut leaf = Router::named("r1", &names, open_group("g", [1, 2, 3]));
    leaf.state().params.features.admission = FeatureMode::On;
    leaf.ask(1, "/stream/x");
    leaf.advance_ms(1_000);
    let reported = leaf.sent_messages().into_iter().find_map(|(_, m)| match m {
        PeerMessage::Demand { accounts, .. } if !accounts.is_empty() => Some(accounts),
        _ => None,
    });
    let reported = reported.expect("a report");
    assert_eq!(&*reported[0].account, "ann");

    let mut planner = Router::planner(open_group("g", [1, 2, 3]));
    planner.state().params.features.admission = FeatureMode::On;
    planner
        .state()
        .peers
        .insert(InstanceId::new("r2"), addr(801));
    planner.ask(2, "/stream/x");
    planner.tell(DirectEvent::PeerMessage {
        from: addr(801),
        message: PeerMessage::Demand {
            routers: 1,
            models: Vec::new(),
            accounts: vec![of("ann", 40_000_000), of("bob", 7_000_000)],
            trends: Vec::new(),
        },
    });
    let digests = accounts_in_digests(&mut planner);
    let first = digests.first().expect("a digest");
    assert_eq!(&*first[0].account, "ann");
    assert!(first[0].used > 40_000_000, "with its use at the planner");
    assert_eq!(&*first[1].account, "bob");
    let now = planner.now;
    assert!(planner.state().admission.usage.of(now, "bob") > 0);
    planner.advance_ms(2_000);
    let now = planner.now;
    assert_eq!(
        planner.state().admission.usage.of(now, "bob"),
        0,
        "lost reports"
    );

    let mut digest = crate::fixture::empty_digest(1, crate::fixture::at(7));
    digest.accounts = vec![of("bob", 7_000_000)];
    crate::fixture::receive_digest(&mut leaf, digest);
    let now = leaf.now;
    assert_eq!(leaf.state().admission.usage.of(now, "bob"), 7_000_000);
}

/// Reports of accounts must not appear where the switch is off: they cost room in datagrams.
#[test]
fn nothing_of_accounts_is_told_while_the_switch_is_off() {
    let mut planner = Router::planner(open_group("g", [1, 2, 3]));
    planner
        .state()
        .peers
        .insert(InstanceId::new("r2"), addr(801));
    planner.ask(2, "/stream/x");
    let digests = accounts_in_digests(&mut planner);
    assert!(!digests.is_empty() && digests.iter().all(Vec::is_empty));
    assert!(planner.state().admission.usage.is_empty());
    assert!(planner.state().admission.pools.is_empty());
}

/// Many long names, or more than a report may have, would make a datagram that is cut on its way.
#[test]
fn reports_of_accounts_fit_a_datagram() {
    let mut planner = Router::planner(open_group("g", [1, 2, 3]));
    planner.state().params.features.admission = FeatureMode::On;
    planner
        .state()
        .peers
        .insert(InstanceId::new("r2"), addr(801));
    let long = |n: u64| of(&format!("{n}{}", "x".repeat(200)), 1_000_000 + n);
    for port in 0..10 {
        planner.tell(DirectEvent::PeerMessage {
            from: addr(801 + port),
            message: PeerMessage::Demand {
                routers: 1,
                models: Vec::new(),
                accounts: (0..50).map(|n| long(n + 100 * u64::from(port))).collect(),
                trends: Vec::new(),
            },
        });
    }
    let digests = accounts_in_digests(&mut planner);
    assert!(digests.iter().any(|accounts| !accounts.is_empty()));
    for accounts in digests {
        let bytes: usize = accounts.iter().map(|a| a.account.len()).sum();
        assert!(accounts.len() <= MAX_REPORTED && bytes <= 1_000, "{bytes}");
    }
    let reports = &planner.state().admission.reports;
    assert!(reports
        .values()
        .all(|(_, accounts)| accounts.len() <= MAX_REPORTED));
}

/// A report of long names would make a datagram that is cut on its way to the parent.
#[test]
fn reports_of_demand_fit_a_datagram() {
    let names: Vec<_> = ["r0", "r1"].map(InstanceId::new).to_vec();
    let mut leaf = Router::named("r1", &names, open_group("g", [1, 2, 3]));
    leaf.state().params.features.admission = FeatureMode::On;
    leaf.ask(1, "/stream/x");
    let now = leaf.now;
    for n in 0..20 {
        let account = name(&format!("{n}{}", "x".repeat(120)));
        leaf.state().admission.usage.charge(now, &account, 1 << 40);
    }
    let huge = name(&"y".repeat(2_000));
    leaf.state().admission.usage.charge(now, &huge, 1 << 50);
    leaf.advance_ms(1_000);
    let mut named = 0;
    for (_, message) in leaf.sent_messages() {
        if let PeerMessage::Demand { accounts, .. } = &message {
            named = named.max(accounts.len());
            let mut bytes = Vec::new();
            ciborium::into_writer(&message, &mut bytes).expect("a message");
            assert!(bytes.len() <= 1_200, "{} bytes", bytes.len());
        }
    }
    assert!(named >= 5, "{named} accounts");
}

/// Objective of the stream route in the stand-in's configuration for contention.
const OBJECTIVE: Duration = Duration::from_millis(400);

/// Time for which each load of the experiment is measured.
const LOAD_TIME: Duration = Duration::from_secs(6);

/// Answers to a caller: within the objective, late, and refusals.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    in_time: u32,
    late: u32,
    refused: u32,
}

impl Served {
    fn add(&mut self, answer: Option<(u16, Duration)>) {
        match answer {
            Some((200, first)) if first <= OBJECTIVE => self.in_time += 1,
            Some((200, _)) => self.late += 1,
            _ => self.refused += 1,
        }
    }

    fn all(&self) -> u32 {
        self.in_time + self.late + self.refused
    }
}

/// Sends requests of an account to the routers in turn from the `first` on, one every `pause` or, if an answer takes
/// longer, after it. After a refusal the next one follows at once if `retries`.
fn load(
    routers: &[Process],
    first: usize,
    account: &str,
    pause: Duration,
    retries: bool,
    name: &str,
) -> Served {
    let begin = Instant::now();
    let mut served = Served::default();
    while begin.elapsed() < LOAD_TIME {
        let sent = Instant::now();
        let n = served.all();
        let router = &routers[(first + n as usize) % routers.len()];
        let attempt = format!("{name}-{account}-{n}");
        let answer = send_as(router.callers, account, &attempt);
        served.add(answer);
        if !retries || matches!(answer, Some((200, _))) {
            std::thread::sleep(pause.saturating_sub(sent.elapsed()));
        }
    }
    served
}

/// Small accounts `t1` to `t9` ask once a second; beside them `large` callers of account `t0`
/// ask every 75 ms. Returns what the small ones and the large one got.
fn play(routers: &[Process], large: u32, retries: bool, name: &str) -> (Served, Served) {
    let sum = |mut sum: Served, one: Served| {
        sum.in_time += one.in_time;
        sum.late += one.late;
        sum.refused += one.refused;
        sum
    };
    std::thread::scope(|scope| {
        let small: Vec<_> = (1..10)
            .map(|n| {
                scope.spawn(move || {
                    std::thread::sleep(Duration::from_millis(100 * n));
                    let pause = Duration::from_millis(1_000);
                    let account = format!("t{n}");
                    load(routers, n as usize, &account, pause, false, name)
                })
            })
            .collect();
        let large: Vec<_> = (0..large)
            .map(|n| {
                let name = format!("{name}-{n}");
                let pause = Duration::from_millis(75);
                scope.spawn(move || load(routers, n as usize, "t0", pause, retries, &name))
            })
            .collect();
        let join = |all: Vec<std::thread::ScopedJoinHandle<Served>>| {
            let served = all.into_iter().map(|t| t.join().expect("a caller"));
            served.fold(Served::default(), sum)
        };
        (join(small), join(large))
    })
}

/// An account that asks for ten times what fits would take what the others need, and the more so
/// the faster it retries.
#[test]
fn processes_give_small_accounts_what_they_get_alone_beside_a_large_one() {
    let dir = tempfile::tempdir().expect("a folder");
    let standin = Standin::start(3, 2);
    standin.world().configure(&contended_config(2));
    standin.world().set_slots(2);
    let stores = vec![standin.store; 2];
    let on = "[features]\nadmission = on\n";
    let routers = start_routers_with(&standin, &stores, dir.path(), on);
    let (alone, _) = play(&routers, 0, false, "alone");
    let (beside, large) = play(&routers, 18, false, "beside");
    let (retried, retrying) = play(&routers, 12, true, "retries");
    let all = format!(
        "alone {alone:?}\nbeside {beside:?}, large {large:?}\n\
         beside retries {retried:?}, large {retrying:?}"
    );
    println!("{all}");
    let share = |served: &Served| f64::from(served.in_time) / f64::from(served.all());
    for served in [&beside, &retried] {
        assert!(
            share(served) >= 0.95 * share(&alone),
            "{all}\n{}",
            logs(dir.path())
        );
    }
    assert!(
        large.in_time > 0,
        "the large account gets what is left: {all}"
    );
    assert!(
        large.all() > 10 * large.in_time.max(1) / 2,
        "the load is too small: {all}"
    );
}
