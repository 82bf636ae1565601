//! Which capacity the planner prepares where the part `capacity` is on.

use std::collections::{BTreeMap, BTreeSet};

use runrail::logic::direct::capacity::{
    plan_loads, LoadDomain, LoadInput, LoadModel, LoadReport, LoadSource, LoadUse, ModelTrend,
    PlannedLoad, ReadyCounts,
};
use runrail::logic::direct::plan::StagedLoad;
use runrail::logic::direct::{
    Digest, DirectEffect, DirectEvent, EndpointReport, EndpointView, FeatureMode, GroupStep,
    HoldOffPhase, Mechanism, OrderResult, PeerMessage, ProbeResult,
};
use runrail::logic::{Effect, LogCode};
use runrail::types::{EndpointEntry, GroupSeat, InstanceId, SeatState};

use crate::fixture::{
    addr, at, empty_digest, engine, keep_busy, open_group, order, receive_digest, request, seat,
    Router, FENCE,
};
use crate::needs::{demand, needs};

const EMPTY: LoadSource = LoadSource {
    seated: false,
    held: None,
};

/// A model of groups of 8 and one of groups of 4; one more group of either is needed.
fn models() -> Vec<LoadModel> {
    let model = |size, gains: &[f64]| LoadModel {
        size,
        gains: gains.to_vec(),
        loss: 0.05,
        member_losses: 0.05,
    };
    vec![model(8, &[0.05]), model(4, &[0.05])]
}

/// A domain by its members, free and seated endpoints that are ready for either model.
fn domain(ready: [(usize, usize, usize); 2], sources: &[(LoadSource, &[u16])]) -> LoadDomain {
    let ready = ready.map(|(members, free, seated)| ReadyCounts {
        members,
        free,
        seated,
    });
    let id = |n: &u16| InstanceId::new(&format!("e{n}"));
    let sources: BTreeMap<_, Vec<_>> = sources
        .iter()
        .map(|(source, numbers)| (*source, numbers.iter().map(id).collect()))
        .collect();
    let empty = sources.get(&EMPTY).map_or(0, Vec::len);
    LoadDomain {
        free: ready[0].free.max(ready[1].free) + empty,
        ready: ready.to_vec(),
        sources,
    }
}

fn plan(domains: Vec<LoadDomain>, max_loads: usize) -> Vec<PlannedLoad> {
    plan_loads(&LoadInput {
        models: models(),
        domains,
        max_loads,
    })
}

/// Guards against a group of 8 that has lost a member and waits forever: endpoints in groups of the
/// other model whose hosts store its model counted as available, so that the one empty endpoint
/// loaded the other model.
#[test]
fn an_empty_endpoint_beside_seven_waiting_members_completes_their_group() {
    let beside = domain([(0, 7, 4), (4, 0, 0)], &[(EMPTY, &[1])]);
    let elsewhere = domain([(8, 0, 0), (4, 0, 0)], &[(EMPTY, &[2, 3, 4, 5])]);
    let first = plan(vec![elsewhere, beside], 1);
    let expected = PlannedLoad {
        id: InstanceId::new("e1"),
        model: 0,
        hold: true,
        purpose: LoadUse::Completes,
    };
    assert_eq!(first, [expected]);
}

/// Guards against loads for a group that can't be completed: with one loadable endpoint beside two
/// waiting ones, no group of either model forms.
#[test]
fn an_endpoint_that_completes_no_group_replaces_members() {
    let planned = plan(vec![domain([(8, 2, 0), (4, 0, 0)], &[(EMPTY, &[1])])], 1);
    assert_eq!(planned[0].purpose, LoadUse::Replaces);
    assert_eq!(planned[0].model, 1, "no endpoint can replace a member of 4");
}

/// Guards against waiting members that nothing is loaded for: seven wait for an eighth that doesn't
/// exist, and four of them can form a group of the other model after loads to their hosts.
#[test]
fn members_without_an_eighth_load_the_other_model() {
    let held = LoadSource {
        seated: false,
        held: Some(0),
    };
    let waiting = domain([(0, 7, 0), (4, 0, 0)], &[(held, &[1, 2, 3, 4, 5, 6, 7])]);
    let planned = plan(vec![waiting], 4);
    assert_eq!(planned.len(), 4);
    assert!(
        planned.iter().all(|p| p.model == 1 && !p.hold),
        "{planned:?}"
    );
    assert!(planned.iter().all(|p| p.purpose == LoadUse::Completes));
}

/// Guards against one needed group for which several domains load at the same time.
#[test]
fn loads_for_one_needed_group_stay_in_one_domain() {
    let spare = |n: u16| domain([(8, 0, 0), (0, 3, 0)], &[(EMPTY, &[n])]);
    let planned = plan(vec![spare(1), spare(2)], 2);
    let completes = planned.iter().filter(|p| p.purpose == LoadUse::Completes);
    assert_eq!(completes.count(), 1, "{planned:?}");
}

/// Guards against endpoints that stay without a second model because no group can use them: three
/// of a domain of 19 are left over, and later replace members of either kind at once.
#[test]
fn leftover_endpoints_become_ready_for_both_models() {
    let held = LoadSource {
        seated: false,
        held: Some(0),
    };
    let ready = [(8, 3, 0), (8, 0, 0)];
    let safe = |model: &LoadModel| LoadModel {
        member_losses: 0.0,
        ..model.clone()
    };
    let planned = plan_loads(&LoadInput {
        models: models().iter().map(safe).collect(),
        domains: vec![domain(ready, &[(held, &[1, 2, 3])])],
        max_loads: 8,
    });
    assert_eq!(planned.len(), 3, "{planned:?}");
    assert!(planned.iter().all(|p| p.model == 1));
    assert!(planned.iter().all(|p| p.purpose == LoadUse::Leftover));
}

/// Guards against loads without end in a fleet of more endpoints than its callers need.
#[test]
fn free_endpoints_that_could_form_an_unneeded_group_load_nothing() {
    let unneeded = |model: &LoadModel| LoadModel {
        gains: Vec::new(),
        loss: 0.0,
        ..model.clone()
    };
    let planned = plan_loads(&LoadInput {
        models: models().iter().map(unneeded).collect(),
        domains: vec![domain(
            [(8, 0, 0), (4, 0, 0)],
            &[(EMPTY, &[1, 2, 3, 4, 5, 6])],
        )],
        max_loads: 8,
    });
    assert_eq!(planned, []);
}

/// A planner with the part on.
fn planner(entries: Vec<(InstanceId, EndpointEntry)>) -> Router {
    let mut router = Router::new(entries);
    let state = router.state();
    state.plan.has_traffic = true;
    state.params.features.capacity = FeatureMode::On;
    state.params.features.trend = FeatureMode::On;
    router.advance_ms(480);
    assert!(router.holds_lease(), "the planner lease was not taken");
    router
}

/// An endpoint that holds no model and whose host stores none.
fn empty(n: u16) -> (InstanceId, EndpointEntry) {
    let (id, mut entry) = engine(n, None);
    entry.model = None;
    entry.staged = Vec::new();
    (id, entry)
}

/// Endpoints that were ordered to load a model, with the model.
fn loads(effects: &[DirectEffect]) -> Vec<(String, String)> {
    let load = |e| match order(e) {
        Some((_, id, GroupStep::Join { members, model, .. })) if members.len() == 1 => {
            Some((id, model.to_string()))
        }
        Some((_, id, GroupStep::Stage { model })) => Some((id, model.to_string())),
        _ => None,
    };
    effects.iter().filter_map(load).collect()
}

/// Two members of a group of three that has ended, and an endpoint that holds nothing.
fn two_of_three() -> Vec<(InstanceId, EndpointEntry)> {
    vec![engine(1, None), engine(2, None), empty(3)]
}

/// Guards against more loads at a time than the weight store serves at full speed: each takes
/// proportionally longer then.
#[test]
fn no_more_loads_are_in_progress_than_run_at_full_speed() {
    let mut entries = open_group("g", [1, 2, 3]);
    entries.extend((10..60).map(empty));
    let mut router = planner(entries);
    let mut ordered = loads(&router.take_effects()).len();
    router.advance_ms(10_000);
    ordered += loads(&router.take_effects()).len();
    assert_eq!(ordered, 6, "all last 12 s");
    let waiting = router.state().plan.loads_waiting;
    assert!(waiting > 0, "the others wait");
    router.advance_ms(8_000);
    let later = loads(&router.take_effects()).len();
    assert_eq!(later, 6, "overdue loads have failed");
}

/// Guards against a large fleet that never loads some models after a restart: each of its groups is
/// worth little of the whole, and demand is unknown or the model has no group.
#[test]
fn a_large_fleet_loads_groups_that_are_each_worth_little() {
    for is_known in [false, true] {
        let mut entries = open_group("g", [1, 2, 3]);
        entries.extend((1_000..1_030).map(empty).map(second_hall));
        let mut router = Router::new(entries);
        let state = router.state();
        state.plan.has_traffic = true;
        state.plan.engine_peak = 6_000;
        state.params.features.capacity = FeatureMode::On;
        state.params.features.trend = FeatureMode::On;
        router.advance_ms(480);
        if is_known {
            router
                .state()
                .peers
                .insert(InstanceId::new("r2"), addr(802));
            keep_busy(&mut router, 0.0, 0.1, 2);
            router.tell(DirectEvent::PeerMessage {
                from: addr(802),
                message: PeerMessage::Demand {
                    routers: 1,
                    models: vec![demand(6_000, 1_000, 150)],
                    accounts: Vec::new(),
                    trends: Vec::new(),
                },
            });
        }
        router.take_effects();
        router.state().plan.staging.clear();
        router.advance_ms(600);
        let loads = loads(&router.take_effects());
        let elsewhere = loads.iter().filter(|(id, _)| id.len() == 5);
        assert!(elsewhere.count() > 0, "{is_known}: {loads:?}");
    }
}

/// Guards against cold loads that nobody plans: the schedule ran only where second models were
/// enabled and few orders were pending, while spares left all loads to it.
#[test]
fn spares_load_without_second_models() {
    let mut router = Router::new(two_of_three());
    let state = router.state();
    state.plan.has_traffic = true;
    state.params.features.capacity = FeatureMode::On;
    state.params.features.trend = FeatureMode::On;
    state.params.disabled.insert(Mechanism::SecondModels);
    router.advance_ms(1_500);
    let loads = loads(&router.take_effects());
    assert!(loads.iter().any(|(id, _)| id == "e3"), "{loads:?}");
}

/// Guards against a load for an endpoint that can't carry it out, which keeps others from theirs.
#[test]
fn an_endpoint_that_cannot_carry_out_a_load_gets_none() {
    type Prepare = fn(&mut Router);
    let cases: [(&str, Prepare); 5] = [
        ("evacuated", |r| {
            let halls = vec!["h1".into()];
            r.tell(DirectEvent::HallsRead { at: at(1), halls });
        }),
        ("silent", |r| {
            let now = r.now;
            view(r, "e3").silent_since = Some(now);
        }),
        ("leaving", |r| view(r, "e3").leaving = true),
        ("holding off", |r| {
            view(r, "e3").hold_off = Some(HoldOffPhase {
                until: 100_000,
                calls_until: 100_000,
                ..HoldOffPhase::default()
            });
        }),
        ("fit", |_| {}),
    ];
    for (case, prepare) in cases {
        let mut router = Router::new(two_of_three());
        router.state().plan.has_traffic = true;
        router.state().params.features.capacity = FeatureMode::On;
        router.state().params.features.trend = FeatureMode::On;
        for _ in 0..100 {
            prepare(&mut router);
            router.advance_ms(20);
        }
        let loads = loads(&router.take_effects());
        let expected = usize::from(case == "fit");
        let of_e3 = loads.iter().filter(|(id, _)| id == "e3");
        assert_eq!(of_e3.count(), expected, "{case}: {loads:?}");
    }
}

fn view<'a>(router: &'a mut Router, id: &str) -> &'a mut EndpointView {
    let endpoints = &mut router.state().endpoints;
    endpoints.get_mut(&InstanceId::new(id)).expect("listed")
}

/// Guards against a change of the schedule where the part is off: second models are loaded as
/// before, so that spares exceed the number of loads at full speed.
#[test]
fn without_the_part_loads_are_ordered_as_before() {
    let mut entries = open_group("g", [1, 2, 3]);
    entries.extend((10..60).map(empty));
    let mut router = Router::planner(entries);
    router.advance_ms(10_000);
    assert!(loads(&router.take_effects()).len() > 12);
}

/// Guards against orders to load that are repeated without limit to endpoints of a hall that can't be
/// reached, each of which takes from the budget of loads.
#[test]
fn an_endpoint_that_does_not_answer_is_probed_before_it_is_ordered_again() {
    let mut router = planner(two_of_three());
    let mut orders = 0;
    let mut probes = 0;
    for _ in 0..100 {
        router.advance_ms(20);
        for effect in router.take_effects() {
            match (&effect, order(&effect)) {
                (_, Some((number, id, _))) if id == "e3" => {
                    orders += 1;
                    router.answer_order(number, OrderResult::Unanswered);
                }
                (DirectEffect::Probe { id, .. }, _) if id.as_str() == "e3" => {
                    probes += 1;
                    router.answer_probe("e3", ProbeResult::Silent);
                }
                _ => {}
            }
        }
    }
    assert_eq!(orders, 1);
    assert!(probes >= 2, "{probes}");
    assert!(router
        .state()
        .plan
        .lost
        .contains_key(&InstanceId::new("e3")));
}

/// Guards against an endpoint that is chosen again at once after it has refused or not answered an
/// order to load, although it answers probes: it takes from the budget each time.
#[test]
fn pauses_between_failed_orders_to_load_grow() {
    for result in [OrderResult::Unfit, OrderResult::Unanswered] {
        let mut router = planner(two_of_three());
        let mut ordered = Vec::new();
        for _ in 0..1_000 {
            for effect in advance_answering(&mut router, 20, &["e1", "e2", "e3"]) {
                if let Some((number, id, _)) = order(&effect).filter(|(_, id, _)| id == "e3") {
                    ordered.push(router.now);
                    router.answer_order(number, result);
                    assert_eq!(id, "e3");
                }
            }
        }
        let pauses: Vec<u64> = ordered.windows(2).map(|w| w[1] - w[0]).collect();
        assert!((3..=5).contains(&pauses.len()), "{result:?}: {pauses:?}");
        let grows = |w: &[u64]| w[1] * 2 >= w[0] * 3;
        assert!(pauses.windows(2).all(grows), "{result:?}: {pauses:?}");
    }
}

/// Guards against more loads than run at full speed: those of endpoints that haven't answered or have
/// been ordered to join a group meanwhile may still run, but weren't counted.
#[test]
fn unanswered_loads_count_until_they_are_due() {
    let mut entries = open_group("g", [1, 2, 3]);
    entries.extend((10..60).map(empty));
    let mut router = planner(entries);
    let mut ordered = BTreeSet::new();
    let answering: Vec<String> = (1..60).map(|n| format!("e{n}")).collect();
    let answering: Vec<&str> = answering.iter().map(String::as_str).collect();
    for _ in 0..500 {
        for effect in advance_answering(&mut router, 20, &answering) {
            if let Some((number, id, _)) = order(&effect) {
                ordered.insert(id);
                router.answer_order(number, OrderResult::Unanswered);
            }
        }
    }
    assert_eq!(ordered.len(), 6, "{ordered:?}");
}

/// A load that a planner reports.
fn report(n: u16, age: u64) -> LoadReport {
    LoadReport {
        id: InstanceId::new(&format!("e{n}")),
        model: "big".into(),
        age,
    }
}

/// A router with many empty endpoints that becomes the planner after a digest with these loads.
fn successor(reports: Vec<LoadReport>) -> Router {
    let mut entries = open_group("g", [1, 2, 3]);
    entries.extend((10..60).map(empty));
    let mut router = Router::started(20_000, entries.clone());
    let state = router.state();
    state.plan.has_traffic = true;
    state.params.features.capacity = FeatureMode::On;
    state.params.features.trend = FeatureMode::On;
    let digest = Digest {
        loads: reports,
        ..empty_digest(1, at(1))
    };
    receive_digest(&mut router, digest);
    router.advance_ms(480);
    assert!(router.holds_lease(), "the planner lease was not taken");
    router.tell(DirectEvent::ListRead {
        at: at(FENCE),
        entries,
    });
    router
}

/// Guards against a new planner that orders loads on top of those of its predecessor, after which all
/// take nearly twice as long.
#[test]
fn a_successor_counts_the_loads_in_progress_of_its_predecessor() {
    let reports = (10..14).map(|n| report(n, 2_000)).collect();
    let mut router = successor(reports);
    router.advance_ms(8_000);
    let ordered = loads(&router.take_effects());
    assert_eq!(ordered.len(), 2, "{ordered:?}");
    let inherited = ["e10", "e11", "e12", "e13"];
    assert!(!ordered.iter().any(|(id, _)| inherited.contains(&&**id)));
}

/// Guards against loads that count forever: one that its endpoint has failed to carry out ends with
/// its published time.
#[test]
fn loads_of_a_predecessor_expire() {
    let reports = (10..16).map(|n| report(n, 12_000)).collect();
    let mut router = successor(reports);
    router.advance_ms(2_000);
    assert_eq!(loads(&router.take_effects()), [], "all six are in progress");
    router.advance_ms(3_000);
    assert!(!loads(&router.take_effects()).is_empty());
}

/// Guards against a successor that learns nothing: a load reaches the other routers within the
/// shortest time between two digests, and with its age.
#[test]
fn digests_report_the_loads_in_progress() {
    let mut entries = two_of_three();
    entries.extend(open_group("g", [5, 6, 7]));
    let mut router = planner(entries);
    router
        .state()
        .peers
        .insert(InstanceId::new("r2"), addr(802));
    router.advance_ms(1_000);
    let digests = router.sent_messages().into_iter();
    let reports = digests.filter_map(|(_, message)| match message {
        PeerMessage::Digest(digest) => Some(digest.loads),
        _ => None,
    });
    let last = reports.last().expect("a digest");
    let third = last.iter().find(|l| l.id.as_str() == "e3");
    let third = third.expect("the load of the third member");
    assert!(third.age >= 500, "{}", third.age);
}

/// Guards against a digest that exceeds a datagram: of more loads than there is room for, the
/// youngest are reported.
#[test]
fn a_digest_has_at_most_sixteen_loads() {
    let mut entries = open_group("g", [1, 2, 3]);
    entries.extend((10..40u16).map(empty));
    let mut router = planner(entries);
    let now = router.now;
    let state = router.state();
    state.peers.insert(InstanceId::new("r2"), addr(802));
    for n in 10..40u64 {
        let load = StagedLoad {
            model: "big".into(),
            since: now - n,
            hold: true,
            cold: true,
            due: now + 10_000,
        };
        state
            .plan
            .staging
            .insert(InstanceId::new(&format!("e{n}")), load);
    }
    router.take_effects();
    router.advance_ms(500);
    let mut digests = router.sent_messages().into_iter();
    let loads = digests.find_map(|(_, message)| match message {
        PeerMessage::Digest(digest) => Some(digest.loads),
        _ => None,
    });
    let loads = loads.expect("a digest");
    assert_eq!(loads.len(), 16);
    assert_eq!(loads[0].id.as_str(), "e10");
}

/// Requests per second expected of a rate in the last 2 s and in the 2 s before.
fn forecast(last: u64, before: u64) -> u64 {
    let trend = ModelTrend {
        mean: (last + before) * 500,
        last: last * 1_000,
        before: before * 1_000,
        ..ModelTrend::none(&"big".into())
    };
    trend.forecast() / 1_000
}

/// Guards against needs that lag behind demand by half of the window, and against an extrapolation
/// without bounds.
#[test]
fn demand_is_extrapolated_within_half_and_twice_the_present_rate() {
    assert_eq!(forecast(100, 100), 100);
    let rising = forecast(150, 100);
    assert!((200..=220).contains(&rising), "{rising}");
    let falling = forecast(100, 150);
    assert!((45..=65).contains(&falling), "{falling}");
    assert!(forecast(400, 50) <= 800);
    assert!(forecast(50, 400) >= 25);
}

/// Guards against groups that are traded to and fro because requests come at random times.
#[test]
fn a_change_within_random_variation_is_not_extrapolated() {
    assert_eq!(forecast(105, 95), 100);
    assert!(forecast(1, 0) <= 1);
    assert_eq!(forecast(4, 6), 5);
}

/// Sends so many requests a second for the large model for some seconds.
fn ask_for_seconds(router: &mut Router, first: u64, per_second: u64, seconds: u64) {
    for n in 0..per_second * seconds {
        let asked = request(first + n, "/stream/x");
        router.tell(DirectEvent::Request(Box::new(asked)));
        router.advance_ms(1_000 / per_second);
    }
}

/// The changes of demand in the last report that a router has sent towards the planner.
fn reported_trends(mode: FeatureMode) -> Vec<ModelTrend> {
    let routers = [InstanceId::new("r2"), InstanceId::new("r1")];
    let mut router = Router::named("r1", &routers, open_group("g", [1, 2, 3]));
    router.state().params.features.capacity = mode;
    router.state().params.features.trend = mode;
    ask_for_seconds(&mut router, 1, 10, 4);
    let behind = ModelTrend {
        mean: 7_000,
        last: 7_000,
        before: 7_000,
        ..ModelTrend::none(&"big".into())
    };
    router.tell(DirectEvent::PeerMessage {
        from: addr(803),
        message: PeerMessage::Demand {
            routers: 3,
            models: Vec::new(),
            accounts: Vec::new(),
            trends: vec![behind],
        },
    });
    router.take_effects();
    ask_for_seconds(&mut router, 1_000, 50, 2);
    let reports = router.sent_messages().into_iter();
    let trends = reports.filter_map(|(_, message)| match message {
        PeerMessage::Demand { trends, .. } => Some(trends),
        _ => None,
    });
    trends.last().expect("a report")
}

/// Guards against a planner that extrapolates the demand of its own callers only.
#[test]
fn a_router_reports_the_change_of_demand_of_its_subtree() {
    let trends = reported_trends(FeatureMode::On);
    assert_eq!(trends.len(), 1, "{trends:?}");
    let trend = &trends[0];
    assert!(trend.last > trend.before + 10_000, "{trend:?}");
    // All are refused: half of them count as first tries.
    assert!(trend.before >= 7_000 + 5_000, "{trend:?}");
    assert_eq!(reported_trends(FeatureMode::Off), []);
}

/// Groups of the large model that are needed while another router reports 100 requests a second on
/// the mean of 6 s, with this change.
fn needed(mode: FeatureMode, last: u64, before: u64) -> f64 {
    let mut router = Router::planner((1..=30).map(|n| engine(n, None)).collect());
    let state = router.state();
    state.params.features.capacity = mode;
    state.params.features.trend = mode;
    state.peers.insert(InstanceId::new("r2"), addr(802));
    keep_busy(&mut router, 0.0, 0.1, 3);
    let trend = ModelTrend {
        mean: 100_000,
        last: last * 1_000,
        before: before * 1_000,
        ..ModelTrend::none(&"big".into())
    };
    router.tell(DirectEvent::PeerMessage {
        from: addr(802),
        message: PeerMessage::Demand {
            routers: 1,
            models: vec![demand(100, 1_000, 150)],
            accounts: Vec::new(),
            trends: vec![trend],
        },
    });
    needs(&mut router)[0]
}

/// Guards against groups that are formed only when a rise of demand is over, and ended only when a
/// fall is: the mean of 6 s has hardly changed by then.
#[test]
fn needs_follow_the_expected_demand() {
    let steady = needed(FeatureMode::On, 100, 100);
    assert_eq!(steady, needed(FeatureMode::Off, 150, 50));
    assert!(needed(FeatureMode::On, 150, 50) > steady);
    assert!(needed(FeatureMode::On, 50, 150) < steady);
}

/// Endpoints of a second hall and domain.
fn second_hall((id, mut entry): (InstanceId, EndpointEntry)) -> (InstanceId, EndpointEntry) {
    entry.hall = "h2".into();
    entry.domain = "d2".into();
    (id, entry)
}

/// Makes the planner find endpoints lost.
fn lose(router: &mut Router, numbers: std::ops::Range<u16>) {
    for n in numbers {
        let id = format!("e{n}");
        router.answer_probe(&id, ProbeResult::Silent);
        router.answer_probe(&id, ProbeResult::Silent);
    }
}

/// Advances the clock, while these endpoints answer probes and others don't.
fn advance_answering(router: &mut Router, ms: u64, answering: &[&str]) -> Vec<DirectEffect> {
    let mut all = Vec::new();
    for _ in 0..ms / 20 {
        router.advance_ms(20);
        for effect in router.take_effects() {
            if let DirectEffect::Probe { id, .. } = &effect {
                let alive = ProbeResult::Alive(EndpointReport::default());
                let answers = answering.contains(&id.as_str());
                let result = if answers { alive } else { ProbeResult::Silent };
                router.answer_probe(id.as_str(), result);
            }
            all.push(effect);
        }
    }
    all
}

/// Guards against loads and groups in a hall that can't be reached: each of its endpoints takes an
/// order of its own until it is known to be lost.
#[test]
fn nothing_is_planned_in_a_hall_that_does_not_answer() {
    let rest = vec!["e16", "e17", "e18", "e19"];
    for (answering, unreachable) in [(vec![], 1), (rest, 0)] {
        let mut entries = open_group("g", [1, 2, 3]);
        entries.extend((10..20).map(empty).map(second_hall));
        let mut router = planner(entries);
        router.take_effects();
        lose(&mut router, 10..16);
        advance_answering(&mut router, 1_000, &answering);
        let halls = &router.state().plan.unreachable_halls;
        assert_eq!(halls.len(), unreachable, "{answering:?} {halls:?}");
        router.take_effects();
        router.state().plan.staging.clear();
        let effects = advance_answering(&mut router, 1_000, &answering);
        let ordered = loads(&effects).into_iter().filter(|(id, _)| id.len() == 3);
        assert_eq!(ordered.count() > 0, unreachable == 0, "{answering:?}");
    }
}

/// Guards against a group that is formed in a hall that is evacuated meanwhile: it counted as present
/// until it was open, so that none was formed elsewhere.
#[test]
fn a_group_that_is_forming_in_an_evacuated_hall_is_given_up() {
    let mut router = planner((1..=3).map(|n| engine(n, None)).collect());
    router.advance_ms(600);
    assert_eq!(router.state().plan.forming.len(), 1);
    let halls = vec!["h1".into()];
    router.tell(DirectEvent::HallsRead { at: at(1), halls });
    router.advance_ms(100);
    assert!(router.state().plan.forming.is_empty());
}

/// Guards against repairs whose duration nobody knows.
#[test]
fn the_time_until_a_lost_group_is_replaced_is_logged() {
    let mut entries = open_group("g", [1, 2, 3]);
    entries.push(engine(4, None));
    let mut router = planner(entries.clone());
    router.advance_ms(100);
    lose(&mut router, 3..4);
    router.advance_ms(500);
    for (rank, n) in [1, 2, 4].into_iter().enumerate() {
        let (id, mut entry) = engine(n, None);
        entry.seat = Some(GroupSeat {
            group: "g9".into(),
            epoch: 1 << 40,
            rank,
            state: SeatState::Open,
        });
        router.change(id.as_str(), Some(entry));
    }
    router.effects.clear();
    router.advance_ms(200);
    let metrics = router.state().metrics(0);
    let took = metrics.iter().find(|(name, _)| *name == "repair_ms");
    let took = took.expect("the metric").1;
    assert!((400..=800).contains(&took), "{took}");
    let is_logged = |e: &Effect| matches!(e, Effect::Log(l) if l.code == LogCode::GroupReplaced);
    assert!(router.effects.iter().any(is_logged));
}

/// Guards against members that wait until the end of the day: two of three wait for a third that no
/// endpoint of their domain can become. The other model is short, but less than theirs.
#[test]
fn members_that_wait_longer_than_a_load_form_a_group_of_the_other_model() {
    let waiting = [1, 2].map(|n| {
        let (id, mut entry) = engine(n, None);
        entry.staged = vec!["small".into()];
        (id, entry)
    });
    let mut entries: Vec<_> = waiting.into();
    for n in 0..2u16 {
        let seat = seat("s", n.into(), SeatState::Open);
        let (id, mut entry) = second_hall(engine(11 + n, seat));
        entry.model = Some("small".into());
        entry.staged = vec!["big".into()];
        entries.push((id, entry));
    }
    for (mode, expected) in [(FeatureMode::On, Some("small")), (FeatureMode::Off, None)] {
        let mut router = planner(entries.clone());
        let params = &mut router.state().params;
        params.disabled.insert(Mechanism::Trades);
        params.features.capacity = mode;
        params.features.trend = mode;
        keep_busy(&mut router, 1.0, 0.6, 11);
        let forming = &router.state().plan.forming;
        assert!(forming.is_empty(), "they wait for a third first");
        keep_busy(&mut router, 1.0, 0.6, 2);
        let forming = router.state().plan.forming.values().next();
        let model = forming.map(|f| f.model.to_string());
        assert_eq!(model.as_deref(), expected, "{mode:?}");
    }
}

/// Guards against an endpoint that counts as having waited in vain as soon as it has loaded a model:
/// the time for which it was free and loaded counted as well.
#[test]
fn waiting_begins_when_an_endpoint_has_a_model() {
    let mut entries = open_group("g", [1, 2, 4]);
    entries.push(empty(3));
    let mut router = planner(entries);
    router.advance_ms(2_000);
    router.change("e3", Some(engine(3, None).1));
    router.advance_ms(200);
    let now = router.now;
    let idle = &router.state().plan.idle[&InstanceId::new("e3")];
    assert!(now - idle.since >= 2_000, "{idle:?}");
    let waits = idle.waits_since.expect("it has a model");
    assert!(now - waits <= 200, "{idle:?}");
}

/// The same as in the schedule, from the list to the order: the empty endpoint beside two waiting
/// members of a group of three loads their model first, with the other model short as well.
#[test]
fn the_first_load_completes_the_group_that_lacks_least() {
    let mut entries = two_of_three();
    entries.extend((11..=14).map(empty).map(second_hall));
    let mut router = planner(entries);
    router.advance_ms(1_000);
    let loads = loads(&router.take_effects());
    let first = loads.first().map(|(id, model)| (&**id, &**model));
    assert_eq!(first, Some(("e3", "big")), "{loads:?}");
}

/// Guards against a group that is formed again and again of an endpoint whose address another has by
/// now, as the list shows the former one for some seconds.
#[test]
fn an_endpoint_that_was_replaced_is_chosen_for_no_further_group() {
    let entries = (1..=4).map(|n| engine(n, None)).collect();
    let mut router = planner(entries);
    let effects = router.take_effects();
    let joins = |effects: &[DirectEffect]| -> Vec<(u64, String)> {
        let join = |e: &DirectEffect| match order(e) {
            Some((number, id, GroupStep::Join { members, .. })) if members.len() == 3 => {
                Some((number, id))
            }
            _ => None,
        };
        effects.iter().filter_map(join).collect()
    };
    let first = joins(&effects);
    assert_eq!(first.len(), 3, "{effects:?}");
    let (number, replaced) = first[0].clone();
    router.answer_order(number, OrderResult::Gone);
    for (number, _) in &first[1..] {
        router.answer_order(*number, OrderResult::Begun);
    }
    router.advance_ms(300);
    let next = joins(&router.take_effects());
    assert_eq!(next.len(), 3);
    assert!(next.iter().all(|(_, id)| *id != replaced), "{next:?}");
}
