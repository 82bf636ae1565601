//! Appointments of refused callers: when they are told to come back, and what they gain by it.

use std::collections::BTreeSet;
use std::sync::Arc;

use runrail::logic::direct::returns::{
    AppointmentTable, CapacityForecast, PoolKey, ReturnBounds, SendRate,
};
use runrail::logic::direct::{
    ColdPhase, DirectEffect, DirectEvent, EndpointView, FeatureMode, Fingerprint, PacedShare,
    Problem, RunPart,
};
use runrail::logic::{Effect, LogCode};
use runrail::types::{InstanceId, KeyedAccount, SeatState};

use crate::fixture::{
    at, engine, open_group, plain, problem, request, routing, run, seat, Router, FENCE, MODEL,
};

/// A rate of 100 requests a second, in thousandths.
const RATE: u64 = 100_000;

/// Time that the burst's callers have left, and their objective.
const LEFT_MS: u64 = 5_000;
const TARGET_MS: u64 = 400;

/// A third of the time left.
const BOUND_MS: u64 = LEFT_MS / 3;

fn fingerprint(n: u64) -> Fingerprint {
    Fingerprint::of(&[&n.to_be_bytes()])
}

fn pool() -> PoolKey {
    PoolKey {
        service: "pool".into(),
        model: Some(MODEL.into()),
    }
}

/// Gives the earliest free slots to `count` requests that are refused at time 0.
fn burst(forecast: &CapacityForecast, waiting: u64, count: usize) -> Vec<Option<u64>> {
    let mut taken = Vec::new();
    let mut give = |_| {
        let at = forecast.earliest_free(0, BOUND_MS, waiting, &taken);
        taken.extend(at);
        taken.sort_unstable();
        at
    };
    (0..count).map(&mut give).collect()
}

/// The most times within any 100 ms.
fn most_in_100_ms(times: &[u64]) -> usize {
    let within = |from: u64| {
        times
            .iter()
            .filter(|t| (from..from + 100).contains(t))
            .count()
    };
    times.iter().map(|from| within(*from)).max().unwrap_or(0)
}

fn steady(rate: u64) -> CapacityForecast {
    let mut forecast = CapacityForecast::default();
    forecast.add(0, rate);
    forecast
}

/// Guards against callers that return in one wave because they were refused in one.
#[test]
fn a_burst_of_200_refusals_is_spread_at_the_rate_of_the_pool() {
    let slots = burst(&steady(RATE), 20, 200);
    let given: Vec<u64> = slots.iter().copied().flatten().collect();
    assert_eq!(given[0], 220, "after the 20 that wait");
    assert_eq!(given.len(), 73, "half of what the pool takes by then");
    assert!(given.is_sorted());
    assert!(most_in_100_ms(&given) <= 6, "{given:?}");
    assert!(given.iter().all(|at| *at <= BOUND_MS));
}

/// Guards against a slot that is promised twice while an earlier one is left empty.
#[test]
fn a_slot_that_becomes_free_is_given_again() {
    let forecast = steady(RATE);
    let taken = [20, 40, 80, 100];
    assert_eq!(forecast.earliest_free(0, BOUND_MS, 0, &taken), Some(60));
    let taken = [20, 40, 60, 80, 100];
    assert_eq!(forecast.earliest_free(0, BOUND_MS, 0, &taken), Some(120));
}

/// Guards against a slot by which a request is late that has one already.
#[test]
fn a_slot_before_a_time_without_capacity_is_not_given_twice() {
    let mut forecast = CapacityForecast::default();
    forecast.add_until(0, 100, RATE);
    forecast.add(1_000, RATE);
    let taken = [20, 40, 60, 80];
    assert_eq!(forecast.earliest_free(0, 1_600, 0, &taken), Some(100));
    let taken = [20, 40, 60, 80, 100];
    assert_eq!(forecast.earliest_free(0, 1_600, 0, &taken), Some(1_020));
    let taken = [20, 40, 60, 80, 1_000];
    assert_eq!(forecast.earliest_free(0, 1_600, 0, &taken), Some(1_020));
}

/// Guards against appointments beyond what a pool takes, whatever its endpoints do.
#[test]
fn what_is_due_never_exceeds_what_the_pool_has_taken() {
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..50 {
        let mut forecast = CapacityForecast::default();
        let mut parts = Vec::new();
        for _ in 0..rng.usize(1..5) {
            let (from, until) = (rng.u64(0..1_500), rng.u64(0..2_000));
            let rate = rng.u64(1_000..80_000);
            forecast.add_until(from, until, rate);
            parts.push((from, until.max(from), rate));
        }
        let waiting = rng.u64(0..10);
        let mut given: Vec<u64> = burst(&forecast, waiting, 200)
            .into_iter()
            .flatten()
            .collect();
        given.sort_unstable();
        for (n, at) in given.iter().enumerate() {
            let time = |(from, until, _): &(u64, u64, u64)| (*at).clamp(*from, *until) - from;
            let taken: u64 = parts.iter().map(|part| time(part) * part.2).sum();
            let due = waiting + 2 * (n as u64 + 1);
            assert!(due * 1_000_000 <= taken, "{parts:?} {waiting} {given:?}");
        }
    }
}

/// Guards against a slot in a time in which nothing can be sent.
#[test]
fn a_pool_without_capacity_for_3_s_has_no_slot_within_the_bound() {
    let mut forecast = CapacityForecast::default();
    forecast.add(3_000, RATE);
    assert!(burst(&forecast, 0, 50).iter().all(Option::is_none));
    assert_eq!(forecast.earliest_free(0, 4_000, 0, &[]), Some(3_020));
}

/// Guards against callers that all return when a group opens, or before.
#[test]
fn a_group_that_opens_in_2_s_gets_no_request_before() {
    let mut forecast = CapacityForecast::default();
    forecast.add(2_000, RATE);
    let given: Vec<u64> = (0..10)
        .scan(Vec::new(), |taken, _| {
            let at = forecast.earliest_free(0, 2_600, 0, taken)?;
            taken.push(at);
            Some(at)
        })
        .collect();
    assert_eq!(given, (1..=10).map(|n| 2_000 + n * 20).collect::<Vec<_>>());
}

/// Guards against an appointment after which the caller has no time for an answer.
#[test]
fn a_caller_comes_back_with_time_for_an_answer() {
    assert_eq!(ReturnBounds::new(LEFT_MS, TARGET_MS, 400).max, BOUND_MS);
    assert_eq!(ReturnBounds::new(450, TARGET_MS, 400).max, 50);
    assert_eq!(ReturnBounds::new(300, TARGET_MS, 400).max, 0);
    for random in [0, 1, 499, 999, u64::MAX] {
        let bounds = ReturnBounds::new(450, TARGET_MS, 400);
        assert!(bounds.late_time(0, 0, random) <= 50);
        let bounds = ReturnBounds::new(LEFT_MS, TARGET_MS, 400);
        assert!((1_033..=BOUND_MS).contains(&bounds.late_time(0, 0, random)));
        assert!((1_100..=BOUND_MS).contains(&bounds.late_time(1_100, 0, random)));
        assert!((1_250..=BOUND_MS).contains(&bounds.late_time(3_000, 0, random)));
        assert!((1_600..=BOUND_MS).contains(&bounds.late_time(0, 1_600, random)));
        assert_eq!(bounds.late_time(0, 3_000, random), BOUND_MS);
    }
}

/// Guards against a rate that falls because endpoints were lost, or that counts the time without any.
#[test]
fn the_rate_is_that_of_an_endpoint_that_takes_requests() {
    let mut rate = SendRate::default();
    assert_eq!(rate.per_endpoint(0), None);
    for now in (0..2_000).step_by(100) {
        rate.on_sent(now);
        rate.on_sent(now);
        rate.record_endpoints(now, 2, 100);
    }
    assert_eq!(rate.per_endpoint(2_000), Some(10_000), "10 a second");
    for now in (2_000..6_000).step_by(100) {
        rate.record_endpoints(now, 0, 100);
    }
    assert_eq!(rate.per_endpoint(6_000), Some(10_000), "as last known");
}

/// Guards against precedence for callers that come early, late or more than once.
#[test]
fn an_appointment_is_kept_once_and_only_in_time() {
    let mut table = AppointmentTable::default();
    for (n, came, kept) in [
        (0, 999, None),
        (1, 1_000, Some(1_000)),
        (2, 1_500, Some(1_000)),
        (3, 1_501, None),
    ] {
        table.insert(0, fingerprint(n), 1_000, &pool());
        assert_eq!(table.keep(came, &fingerprint(n)), kept, "at {came}");
    }
    assert_eq!(table.keep(1_000, &fingerprint(1)), None, "used up");
    assert_eq!(
        table.keep(1_200, &fingerprint(0)),
        Some(1_000),
        "coming early has cost nothing"
    );
    assert!(table.is_empty());
}

/// Guards against a flood of requests that takes memory without bound, or drives out appointments
/// that are still to come.
#[test]
fn a_flood_of_fingerprints_evicts_only_what_is_over() {
    let mut table = AppointmentTable::default();
    for n in 0..4_096 {
        assert!(table.insert(0, fingerprint(n), 1_000 + n, &pool()));
    }
    assert!(!table.insert(0, fingerprint(5_000), 500, &pool()));
    assert_eq!(table.len(), 4_096);
    assert!(table.insert(1_502, fingerprint(5_001), 3_000, &pool()));
    assert!(table.insert(1_502, fingerprint(5_002), 3_000, &pool()));
    assert!(!table.insert(1_502, fingerprint(5_003), 3_000, &pool()));
    assert_eq!(table.len(), 4_096);
    assert_eq!(table.upcoming(0, &fingerprint(0)), None, "over longest");
    assert_eq!(table.upcoming(0, &fingerprint(1)), None, "over next");
    assert_eq!(table.upcoming(0, &fingerprint(2)), Some(1_002));
}

const SERVED: RunPart = RunPart::Complete {
    status: 200,
    not_run: false,
};

/// A router with returns switched on that has sent about 50 requests a second to its only head, which
/// has no room left now, and the runs at that head.
fn full_head() -> (Router, Vec<u64>) {
    let mut router = Router::new(open_group("g", [1, 2, 3]));
    router.state().params.features.returns = FeatureMode::On;
    for id in 0..50 {
        let sent = run(&router.ask(id, "/stream/x"));
        router.part(sent.run, SERVED);
        router.advance_ms(40);
    }
    let runs = (50..98).map(|id| run(&router.ask(id, "/stream/x")).run);
    let runs = runs.collect();
    (router, runs)
}

/// Requests `ids` come at once; returns after how many milliseconds each that is refused is told to
/// come back, without the time that it waited.
fn refusals(router: &mut Router, ids: std::ops::Range<u64>, path: &str) -> Vec<u64> {
    let mut told = Vec::new();
    for id in ids {
        if let Some(Problem::NotRun(ms)) = problem(&router.ask(id, path)) {
            told.push(ms);
        }
    }
    told
}

/// Number of log events with a code since the effects were last taken.
fn logged(router: &Router, code: LogCode) -> usize {
    let is_code = |e: &&Effect| matches!(e, Effect::Log(event) if event.code == code);
    router.effects.iter().filter(is_code).count()
}

/// Number of callers that got a free slot since the effects were last taken.
fn free_slots(router: &Router) -> usize {
    let is_free = |e: &&Effect| match e {
        Effect::Log(event) => {
            let text = event.to_string();
            event.code == LogCode::AppointmentGiven && text.contains("\"free slot\"")
        }
        _ => false,
    };
    router.effects.iter().filter(is_free).count()
}

/// Guards against a wave of returns at a router, from the rate that it has measured itself.
#[test]
fn refused_callers_of_a_router_come_back_spread_and_in_time() {
    let (mut router, _) = full_head();
    let told = refusals(&mut router, 1_000..1_200, "/stream/x");
    assert!(told.len() > 150, "{}", told.len());
    assert!(told.iter().all(|ms| *ms <= BOUND_MS), "{told:?}");
    assert!(told[0] > 500, "after some 28 that wait: {told:?}");
    assert!(most_in_100_ms(&told) <= 50, "{told:?}");
    let distinct: BTreeSet<_> = told.iter().collect();
    assert!(distinct.len() > 100, "{told:?}");
    assert_eq!(router.state().returns.given, told.len() as u64);
    let first = &told[..25];
    assert!(
        most_in_100_ms(first) <= 4,
        "at half of 50 a second: {told:?}"
    );
}

/// Guards against the scan of all endpoints for each of many refusals, and against a forecast that is
/// used for long.
#[test]
fn a_forecast_is_used_for_50_ms() {
    let (mut router, _) = full_queue();
    let made_at = |router: &mut Router| router.state().returns.forecasts[&pool()].0;
    let first = made_at(&mut router);
    router.now = first + 49;
    refuse(&mut router, 1_001);
    assert_eq!(made_at(&mut router), first);
    router.now = first + 50;
    refuse(&mut router, 1_002);
    assert_eq!(made_at(&mut router), first + 50);
}

/// Guards against a plain service whose rate and waiting requests are split by the models that its
/// callers happen to name.
#[test]
fn requests_of_a_plain_service_are_of_one_pool() {
    let (id, entry) = plain(1);
    let mut router = Router::new(vec![(id.clone(), entry)]);
    router.state().params.features.returns = FeatureMode::On;
    for id in 0..100 {
        let mut asked = request(id, "/once/x");
        asked.model = Some(format!("model-{}", id % 5).into());
        router.ask_for(asked);
    }
    assert_eq!(router.state().returns.rates.len(), 1);
    let until = router.now + 1_450;
    let view = router.state().endpoints.get_mut(&id).expect("an endpoint");
    view.backoff_until = until;
    for id in 1_000..1_100 {
        let mut asked = request(id, "/once/x");
        asked.model = Some(format!("model-{}", id % 5).into());
        router.ask_for(asked);
    }
    let returns = &router.state().returns;
    assert_eq!(returns.rates.len(), 1, "{:?}", returns.rates);
    assert!(returns.rates.keys().all(|pool| pool.model.is_none()));
    assert!(returns.forecasts.keys().all(|pool| pool.model.is_none()));
    assert!(returns.given > 0);
}

/// Guards against a change of the time to come back while the switch is off.
#[test]
fn nothing_is_remembered_while_returns_are_off() {
    let (mut router, _) = full_head();
    router.state().params.features.returns = FeatureMode::Off;
    let told = refusals(&mut router, 1_000..1_200, "/stream/x");
    assert!(told.len() > 100);
    // As without this part: a random time in the later half between 400 ms and a third of the time left.
    let half = 400 + (BOUND_MS - 400) / 2;
    assert!(told.iter().all(|ms| (half..=BOUND_MS).contains(ms)));
    let (mut other, _) = full_head();
    other.state().params.features.returns = FeatureMode::Off;
    other.state().returns = Default::default();
    assert_eq!(told, refusals(&mut other, 1_000..1_200, "/stream/x"));
    let held = hold_off(&mut other, 3_000);
    let told = refusals(&mut other, 2_000..2_010, "/stream/x");
    assert!(told.len() == 10 && told.iter().all(|ms| *ms >= held));
    assert!(router.state().returns.table.is_empty());
    assert_eq!(router.state().returns.given, 0);
}

/// Guards against a wave of returns where this router has never sent anything.
#[test]
fn callers_are_spread_where_nothing_is_known() {
    let mut router = Router::new(vec![engine(1, None)]);
    router.state().params.features.returns = FeatureMode::On;
    let told = refusals(&mut router, 0..100, "/stream/x");
    assert_eq!(told.len(), 100);
    assert!(told.iter().all(|ms| (1_033..=BOUND_MS).contains(ms)));
    assert!(most_in_100_ms(&told) <= 30, "{told:?}");
}

/// Makes the only head hold off for some 1.0 to 1.1 times `ms`; returns for how long it does.
fn hold_off(router: &mut Router, ms: u64) -> u64 {
    let id = InstanceId::new("e1");
    router.tell(DirectEvent::HoldOff {
        id: id.clone(),
        run: Some(1),
        ms,
    });
    let until = router.state().endpoints[&id].hold_off.as_ref();
    let until = until.map(|h| h.until).expect("a hold-off");
    until - router.now
}

/// Guards against callers that return before the first endpoint takes requests again.
#[test]
fn callers_come_back_when_a_hold_off_ends() {
    let (mut router, _) = full_head();
    let held = hold_off(&mut router, 800);
    let told = refusals(&mut router, 1_000..1_200, "/stream/x");
    assert!(told.len() > 100);
    assert!(
        told.iter().all(|ms| (held..=BOUND_MS).contains(ms)),
        "{held} {told:?}"
    );
}

/// Guards against callers that return, without a slot, within a hold-off whose end they could wait for.
#[test]
fn callers_without_a_slot_come_back_after_a_hold_off_that_ends_late() {
    let (mut router, _) = full_head();
    let held = hold_off(&mut router, 1_450);
    assert!(held < BOUND_MS, "{held}");
    let told = refusals(&mut router, 1_000..1_200, "/stream/x");
    assert!(told.len() > 100);
    let late = held..=BOUND_MS;
    assert!(told.iter().all(|ms| late.contains(ms)), "{held} {told:?}");
    let distinct: BTreeSet<_> = told.iter().collect();
    assert!(distinct.len() > 10, "spread over what is left: {told:?}");
}

/// Guards against callers that return within a hold-off because nothing was ever sent to the pool.
#[test]
fn callers_come_back_after_a_hold_off_where_nothing_is_known() {
    let mut router = Router::new(open_group("g", [1, 2, 3]));
    router.state().params.features.returns = FeatureMode::On;
    let held = hold_off(&mut router, 1_450);
    let told = refusals(&mut router, 1_000..1_050, "/stream/x");
    assert_eq!(told.len(), 50);
    let late = held..=BOUND_MS;
    assert!(told.iter().all(|ms| late.contains(ms)), "{held} {told:?}");
}

/// Guards against an appointment that is repeated to a caller though a hold-off has begun since.
#[test]
fn an_appointment_is_moved_to_the_end_of_a_hold_off() {
    let (mut router, _) = full_queue();
    let ms = refuse(&mut router, 1_000);
    let held = hold_off(&mut router, 1_450);
    assert!(ms + 500 < held, "{ms}");
    let told = problem(&again(&mut router, 1_000, 2_000));
    let Some(Problem::NotRun(ms)) = told else {
        panic!("it was not refused: {told:?}");
    };
    assert!((held..=BOUND_MS).contains(&ms), "{held} {ms}");
}

/// When the first of some callers is told to come back after a change of the only head; none if it
/// gets no slot.
fn first_slot(change: impl FnOnce(&mut EndpointView, u64)) -> Option<u64> {
    let (mut router, _) = full_head();
    let now = router.now;
    let head = router.state().endpoints.get_mut(&InstanceId::new("e1"));
    change(head.expect("a head"), now);
    router.effects.clear();
    for id in 1_000..1_050 {
        router.tell(DirectEvent::Request(Box::new(request(id, "/stream/x"))));
    }
    let has_slot = free_slots(&router) > 0;
    match problem(&router.take_effects()) {
        Some(Problem::NotRun(ms)) if has_slot => Some(ms),
        _ => None,
    }
}

/// Guards against appointments by the capacity of endpoints that take nothing yet.
#[test]
fn endpoints_count_from_when_they_take_requests() {
    let usual = first_slot(|_, _| ()).expect("a slot");
    assert_eq!(first_slot(|v, now| v.silent_since = Some(now)), None);
    assert_eq!(first_slot(|v, _| v.leaving = true), None);
    let after_backoff = first_slot(|v, now| v.backoff_until = now + 700);
    assert_eq!(after_backoff, Some(usual + 700));
    let after_cold = first_slot(|v, now| {
        let share = PacedShare {
            gap: Some(500),
            ..PacedShare::default()
        };
        let until = now + 700;
        v.cold = Some(ColdPhase { until, share });
    });
    // 1.4 requests until it is warm, then 50 a second.
    let expected = usual + 670;
    assert!(
        after_cold.is_some_and(|ms| ms.abs_diff(expected) <= 10),
        "{after_cold:?} {usual}"
    );
}

/// Guards against appointments by endpoints that operators have taken out of use.
#[test]
fn an_evacuated_hall_is_no_capacity() {
    let (mut router, _) = full_head();
    router.effects.clear();
    let halls = vec!["h1".into()];
    let at = at(FENCE + 1);
    router.tell(DirectEvent::HallsRead { at, halls });
    router.tell(DirectEvent::Request(Box::new(request(1_000, "/stream/x"))));
    assert!(logged(&router, LogCode::AppointmentGiven) > 0);
    assert_eq!(free_slots(&router), 0, "{:?}", router.effects);
}

/// Guards against a forecast by requests that were sent too late, which callers gain nothing from.
#[test]
fn requests_that_are_sent_late_do_not_count_in_the_rate() {
    let (mut router, runs) = full_queue();
    router.now += 100;
    let now = router.now;
    let rate = |router: &mut Router| router.state().returns.rates[&pool()].per_endpoint(now);
    let before = rate(&mut router);
    assert!(first_sent(&mut router, runs).is_some());
    assert_eq!(rate(&mut router), before);
}

/// Guards against callers that return before a group opens, and against ones that are told the last
/// possible time though a group opens before.
#[test]
fn callers_come_back_when_a_group_opens() {
    let (mut router, _) = full_head();
    for (n, id) in [1, 2, 3].into_iter().enumerate() {
        let (id, entry) = engine(id, seat("g2", n, SeatState::Joining));
        router.change(id.as_str(), Some(entry));
    }
    router.advance_ms(300);
    router.take_effects();
    // Loading from the host takes 1,000 ms and opening 300 ms.
    let told = refusals(&mut router, 1_000..1_045, "/stream/x");
    assert!(told.len() >= 5);
    assert!(
        told.iter().all(|ms| (1_000..=BOUND_MS).contains(ms)),
        "{told:?}"
    );
    assert!(most_in_100_ms(&told) <= 15, "{told:?}");
}

/// Number of free slots of a router that has an open head, which takes nothing, and a group that was first
/// seen as joining `ms` ago.
fn slots_of_joining(ms: u64, change: impl FnOnce(&mut EndpointView, u64)) -> usize {
    let (mut router, runs) = full_head();
    for run in runs {
        router.part(run, RunPart::End);
    }
    for (n, id) in [1, 2, 3].into_iter().enumerate() {
        let (id, entry) = engine(id, seat("g2", n, SeatState::Joining));
        router.change(id.as_str(), Some(entry));
    }
    router.advance_ms(200);
    let now = router.now;
    let head = router.state().endpoints.get_mut(&InstanceId::new("e1"));
    change(head.expect("a head"), now);
    for opening in router.state().returns.openings.values_mut() {
        opening.at -= ms;
    }
    router.state().returns.surveyed_at = 0;
    router.advance_ms(100);
    router.effects.clear();
    for id in 1_000..1_050 {
        router.tell(DirectEvent::Request(Box::new(request(id, "/stream/x"))));
    }
    free_slots(&router)
}

/// Guards against callers that are told to come back for a group that is stuck, or whose head is silent.
#[test]
fn a_group_that_does_not_open_is_not_expected_for_ever() {
    assert!(slots_of_joining(0, |_, _| ()) > 0);
    assert!(slots_of_joining(2_000, |_, _| ()) > 0, "it is overdue");
    assert_eq!(slots_of_joining(4_000, |_, _| ()), 0, "it is stuck");
    let silent = |v: &mut EndpointView, now| v.silent_since = Some(now);
    assert_eq!(slots_of_joining(0, silent), 0);
}

/// Guards against a rate that counts what cold endpoints are sent but not their time.
#[test]
fn what_cold_endpoints_are_sent_does_not_count_in_the_rate() {
    let (mut router, runs) = full_head();
    let now = router.now;
    let rate = |router: &mut Router| router.state().returns.rates[&pool()].per_endpoint(now);
    let before = rate(&mut router);
    for run in runs {
        router.part(run, RunPart::End);
    }
    let head = router.state().endpoints.get_mut(&InstanceId::new("e1"));
    head.expect("a head").cold = Some(ColdPhase {
        until: now + 1_000,
        share: PacedShare {
            gap: Some(1),
            ..PacedShare::default()
        },
    });
    assert_eq!(run(&router.ask(1_000, "/stream/x")).request, 1_000);
    assert_eq!(rate(&mut router), before);
}

/// Refuses a request of a router whose head is full, and returns after how long it is told to come
/// back.
fn refuse(router: &mut Router, id: u64) -> u64 {
    let now = router.now;
    for queue in router.state().queues.values_mut() {
        queue.on_refused(now);
    }
    let told = problem(&router.ask(id, "/stream/x"));
    let Some(Problem::NotRun(ms)) = told else {
        panic!("{id} was not refused: {told:?}");
    };
    ms
}

/// A router as of `full_head` where so many wait that the next one is refused.
fn full_queue() -> (Router, Vec<u64>) {
    let (mut router, runs) = full_head();
    let is_refused = |id: u64| problem(&router.ask(id, "/stream/x")).is_some();
    assert!((100..200).any(is_refused));
    (router, runs)
}

/// Ends runs until a waiting request is sent; returns its number.
fn first_sent(router: &mut Router, runs: Vec<u64>) -> Option<u64> {
    runs.into_iter().find_map(|run| {
        let effects = router.part(run, RunPart::End);
        effects.iter().find_map(|e| match e {
            DirectEffect::Run(run) => Some(run.request),
            _ => None,
        })
    })
}

/// A request that comes again under a new number.
fn again(router: &mut Router, first: u64, id: u64) -> Vec<DirectEffect> {
    let mut asked = request(id, "/stream/x");
    asked.fingerprint = request(first, "/stream/x").fingerprint;
    router.ask_for(asked)
}

/// Guards against a caller that came at its time and has to wait behind callers that came later.
#[test]
fn a_kept_appointment_goes_before_fresh_requests_once() {
    let (mut router, runs) = full_queue();
    let ms = refuse(&mut router, 1_000);
    // Those that wait by now are late, or refused.
    router.advance_ms(ms);
    router.take_effects();
    assert!(
        router.ask(2_000, "/stream/x").is_empty(),
        "a fresh one waits"
    );
    assert!(again(&mut router, 1_000, 2_001).is_empty(), "it waits");
    let kept = |id: u64, router: &mut Router| router.state().in_flight[&id].kept_appointment;
    assert!(!kept(2_000, &mut router));
    assert!(kept(2_001, &mut router));
    assert_eq!(router.state().returns.kept, 1);
    assert_eq!(first_sent(&mut router, runs), Some(2_001));
    again(&mut router, 1_000, 2_002);
    assert_eq!(router.state().returns.kept, 1, "once");
}

/// Guards against a request that returns in time only to find the queue full, which is its last try.
#[test]
fn a_kept_appointment_has_a_place_in_a_full_queue() {
    let (mut router, _) = full_queue();
    let ms = refuse(&mut router, 1_000);
    router.advance_ms(ms);
    let full = refusals(&mut router, 2_000..2_100, "/stream/x");
    assert!(!full.is_empty(), "the queue is full of fresh ones");
    assert!(again(&mut router, 1_000, 3_000).is_empty(), "it waits");
    let other = problem(&router.ask(3_001, "/stream/x"));
    assert!(matches!(other, Some(Problem::NotRun(_))), "{other:?}");
}

/// Guards against fresh requests that are refused for good behind many that keep appointments.
#[test]
fn kept_appointments_have_bounded_places_beyond_a_full_queue() {
    let (mut router, _) = full_queue();
    let now = router.now;
    for id in 1_000..1_200 {
        let known = request(id, "/").fingerprint.for_account(Some("ann"));
        let table = &mut router.state().returns.table;
        assert!(table.insert(now, known, now + 10, &pool()));
    }
    let waiting = |router: &mut Router| {
        let queues = router.state().queues.values();
        queues.map(|q| q.waiting.len()).sum::<usize>()
    };
    let full = waiting(&mut router);
    router.now += 10;
    for id in 1_000..1_200 {
        again(&mut router, id, id + 1_000);
    }
    assert_eq!(router.state().returns.kept, 200);
    let beyond = waiting(&mut router) - full;
    assert!(beyond >= 1 && beyond <= full / 2, "{beyond} beyond {full}");
}

/// Guards against precedence for callers that were told a time though there was no slot for them, and
/// against later callers that find no slot because of these.
#[test]
fn only_free_slots_are_remembered() {
    let (mut router, _) = full_head();
    router.effects.clear();
    for id in 1_000..1_200 {
        router.tell(DirectEvent::Request(Box::new(request(id, "/stream/x"))));
    }
    let (given, free) = (
        logged(&router, LogCode::AppointmentGiven),
        free_slots(&router),
    );
    assert!(free > 0 && free < given / 2, "{free} of {given}");
    assert_eq!(router.state().returns.table.len(), free);
    let mut unused = Router::new(vec![engine(1, None)]);
    unused.state().params.features.returns = FeatureMode::On;
    assert_eq!(refusals(&mut unused, 0..100, "/stream/x").len(), 100);
    assert!(unused.state().returns.table.is_empty());
}

/// Guards against an immediate retry that counts as kept, by a caller that has no time to come back.
#[test]
fn a_caller_without_time_to_come_back_gets_no_appointment() {
    let (mut router, _) = full_queue();
    let mut asked = request(1_000, "/stream/x");
    asked.wait_ms = Some(TARGET_MS);
    let now = router.now;
    for queue in router.state().queues.values_mut() {
        queue.on_refused(now);
    }
    let told = problem(&router.ask_for(asked));
    assert!(matches!(told, Some(Problem::NotRun(0))), "{told:?}");
    let known = request(1_000, "/").fingerprint.for_account(Some("ann"));
    let table = &mut router.state().returns.table;
    assert_eq!(table.keep(now, &known), None);
    again(&mut router, 1_000, 2_000);
    assert_eq!(router.state().returns.kept, 0);
}

/// Guards against requests that get precedence at each try, before fresh ones that never had it.
#[test]
fn a_request_that_is_refused_again_gets_no_further_appointment() {
    let (mut router, _) = full_queue();
    let ms = refuse(&mut router, 1_000);
    router.advance_ms(ms);
    again(&mut router, 1_000, 2_000);
    assert_eq!(router.state().returns.kept, 1);
    router.advance_ms(1_300);
    assert_eq!(router.state().returns.refused_again, 1);
    let known = request(1_000, "/").fingerprint.for_account(Some("ann"));
    let other = request(4_000, "/").fingerprint.for_account(Some("ann"));
    // The head answers again, so that the pool has slots; the queue fills once more.
    let now = router.now;
    let head = router.state().endpoints.get_mut(&InstanceId::new("e1"));
    head.expect("a head").silent_since = None;
    let rates = &mut router.state().returns.rates;
    let rate = rates.get_mut(&pool()).expect("a known rate");
    (0..200).for_each(|_| rate.on_sent(now));
    router.state().returns.forecasts.clear();
    assert!((3_000..3_500).any(|id| problem(&router.ask(id, "/stream/x")).is_some()));
    let told = problem(&again(&mut router, 1_000, 3_500));
    assert!(matches!(told, Some(Problem::NotRun(_))), "{told:?}");
    let told = problem(&router.ask(4_000, "/stream/x"));
    assert!(matches!(told, Some(Problem::NotRun(_))), "{told:?}");
    let table = &router.state().returns.table;
    assert!(table.upcoming(now, &other).is_some(), "there are slots");
    assert_eq!(table.upcoming(now, &known), None);
    let now = router.now;
    let table = &mut router.state().returns.table;
    assert!(table.is_spent(now, &known));
    table.forget(&known);
    assert!(!table.is_spent(now, &known));
}

/// Guards against a returned request that goes before more important ones.
#[test]
fn a_kept_appointment_does_not_go_before_a_higher_priority() {
    let (mut router, runs) = full_queue();
    let mut changed = routing(2);
    let urgent = KeyedAccount {
        name: "urgent".into(),
        priority: Some(0),
    };
    changed.accounts.insert("key-0".into(), Arc::new(urgent));
    router.tell(DirectEvent::Routing(Arc::new(changed)));
    let ms = refuse(&mut router, 1_000);
    router.advance_ms(ms);
    assert!(again(&mut router, 1_000, 2_000).is_empty(), "it waits");
    let mut asked = request(2_001, "/stream/x");
    asked.key = Some("key-0".into());
    assert!(router.ask_for(asked).is_empty(), "the urgent one waits");
    assert_eq!(first_sent(&mut router, runs), Some(2_001));
}

/// Guards against a message for each refusal: at 12,000 requests a second and 380 routers these would
/// be more than all others.
#[test]
fn appointments_cost_no_messages() {
    let routers = ["r0", "r1", "r2"].map(InstanceId::new);
    let messages = |mode| {
        let mut router = Router::named("r1", &routers, open_group("g", [1, 2, 3]));
        router.state().params.features.returns = mode;
        let mut count = 0;
        for id in 0..200 {
            router.tell(DirectEvent::Request(Box::new(request(id, "/stream/x"))));
            router.advance_ms(20);
            count += router.sent_messages().len();
        }
        assert_eq!(router.state().returns.given > 0, mode == FeatureMode::On);
        count
    };
    assert_eq!(messages(FeatureMode::On), messages(FeatureMode::Off));
}

/// Guards against a group that opens in a pool of which nothing was measured yet: callers would be
/// spread over the time before.
#[test]
fn a_pool_that_was_never_used_is_expected_to_take_what_is_published() {
    let joining = [1, 2, 3].into_iter().enumerate();
    let joining = joining.map(|(rank, n)| engine(n, seat("g", rank, SeatState::Joining)));
    let mut router = Router::new(joining.collect());
    let mut changed = routing(2);
    let mut pool = (*changed.services["pool"]).clone();
    if let Some(engine) = &mut pool.engine {
        (engine.usual_prompt, engine.usual_answer) = (1_000, 50);
    }
    changed.services.insert("pool".into(), Arc::new(pool));
    router.tell(DirectEvent::Routing(Arc::new(changed)));
    router.state().params.features.returns = FeatureMode::On;
    router.advance_ms(500);
    // 24 runs of 320 ms each are 75 a second. The group opens 1,300 ms after it was first seen.
    let told = refusals(&mut router, 1_000..1_020, "/stream/x");
    assert_eq!(told.len(), 20);
    assert!(told[0] >= 700 && told[0] < 960, "{told:?}");
    assert!(told.is_sorted() && most_in_100_ms(&told) <= 5, "{told:?}");
}

/// Guards against callers that gain by coming back at once, and against ones that take a further slot
/// each time.
#[test]
fn a_caller_that_comes_early_gains_nothing() {
    let (mut router, _) = full_queue();
    refuse(&mut router, 1_000);
    let known = request(1_000, "/").fingerprint.for_account(Some("ann"));
    let at = |router: &mut Router| {
        let now = router.now;
        router.state().returns.table.upcoming(now, &known)
    };
    let promised = at(&mut router).expect("an appointment");
    let table = router.state().returns.table.len();
    for id in 2_000..2_050 {
        let Some(Problem::NotRun(ms)) = problem(&again(&mut router, 1_000, id)) else {
            panic!("{id} was not refused");
        };
        assert!(router.now + ms >= promised, "not before its appointment");
        assert_eq!(at(&mut router), Some(promised));
    }
    assert_eq!(router.state().returns.kept, 0);
    assert_eq!(router.state().returns.table.len(), table);
}

/// Guards against an operator who can't see that appointments are worth nothing.
#[test]
fn a_request_that_is_refused_again_is_counted_and_logged() {
    let (mut router, _) = full_queue();
    let ms = refuse(&mut router, 1_000);
    router.advance_ms(ms);
    router.effects.clear();
    router.tell(DirectEvent::Request(Box::new({
        let mut asked = request(2_000, "/stream/x");
        asked.fingerprint = request(1_000, "/stream/x").fingerprint;
        asked
    })));
    assert_eq!(logged(&router, LogCode::AppointmentKept), 1);
    router.advance_ms(1_300);
    assert_eq!(logged(&router, LogCode::RefusedAgain), 1);
    let now = router.now;
    let metrics = router.state().metrics(now);
    let value = |name| metrics.iter().find(|(n, _)| *n == name).map(|(_, v)| *v);
    assert_eq!(value("appointments_kept"), Some(1));
    assert_eq!(value("refused_again"), Some(1));
    assert!(value("appointments") > Some(1));
}

/// Guards against the loss of a caller's answer with the table of a router: it is a fresh request.
#[test]
fn a_router_that_has_lost_its_table_serves_who_returns() {
    let (mut router, runs) = full_queue();
    let ms = refuse(&mut router, 1_000);
    router.advance_ms(ms);
    router.state().returns = Default::default();
    for run in runs {
        router.part(run, RunPart::End);
    }
    let sent = run(&again(&mut router, 1_000, 2_001));
    assert_eq!(sent.request, 2_001);
}
