//! Admission: which of the requests that contend for the same endpoints get room.

use std::sync::Arc;

use runrail::logic::direct::admission::{
    fair_order, largest_accounts, request_cost, AccountUsage, PoolLoad, QueuedRequest,
    StartForecast, Verdict, WaitingCase, MAX_REPORTED,
};
use runrail::logic::direct::Precedence;
use runrail::types::{EngineModel, EngineSpec};

fn name(text: &str) -> Arc<str> {
    text.into()
}

/// A use that never fell would shut an account out for good, one that fell at once wouldn't limit
/// it.
#[test]
fn the_use_of_an_account_halves_in_two_seconds_however_often_it_is_charged() {
    let ann = name("ann");
    let mut usage = AccountUsage::default();
    usage.charge(1_000, &ann, 1_000_000);
    let left = usage.of(3_000, "ann");
    assert!((490_000..=510_000).contains(&left), "{left}");
    let mut in_steps = AccountUsage::default();
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
    let mut usage = AccountUsage::default();
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
    let mut usage = AccountUsage::default();
    usage.charge(1_000, &name("ann"), 100);
    usage.on_totals(1_000, &[(name("ann"), 900), (name("bob"), 400)]);
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
    assert_eq!(largest[0], (name("a3"), 1_003));
    assert_eq!(largest[1], (name("a39"), 39));
}

fn queued(id: u64, account: &str) -> QueuedRequest<'_> {
    QueuedRequest {
        id,
        precedence: Precedence::Fresh,
        late: false,
        priority: 1,
        kept_appointment: false,
        account,
        cost: 10,
    }
}

fn order(requests: Vec<QueuedRequest>, used: impl Fn(&str) -> u64) -> Vec<u64> {
    fair_order(requests, used).iter().map(|r| r.id).collect()
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
