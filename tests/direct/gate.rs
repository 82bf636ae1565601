//! Calls to an unavailable store: few, one at a time, and soon after it is available again.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use runrail::link::{page_timeout, StoreGate};
use tokio::time::{sleep, Instant};

/// Number of calls that the watches of one router make in some seconds to a store that answers
/// none of them, on a simulated clock.
fn calls_made(watches: usize, seconds: u64, routers: usize) -> usize {
    with_clock(async move {
        let gate = Rc::new(StoreGate::default());
        let count = Rc::new(Cell::new(0));
        for _ in 0..watches {
            let (gate, count) = (gate.clone(), count.clone());
            tokio::task::spawn_local(async move {
                loop {
                    let permit = gate.acquire().await;
                    count.set(count.get() + 1);
                    sleep(Duration::from_millis(5)).await;
                    permit.end(false, routers);
                }
            });
        }
        sleep(Duration::from_secs(seconds)).await;
        count.get()
    })
}

fn with_clock<T>(work: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, work)
}

#[test]
fn an_unavailable_store_is_called_at_most_four_times_a_second_by_each_router() {
    for routers in [5, 52, 400] {
        let total: usize = (0..20).map(|_| calls_made(3, 60, routers)).sum();
        let in_a_minute = total / 20;
        assert!(in_a_minute <= 60 * 4, "{routers} routers: {in_a_minute}");
    }
}

#[test]
fn one_trial_call_is_made_at_a_time_and_its_answer_opens_the_gate() {
    with_clock(async {
        let gate = StoreGate::default();
        gate.acquire().await.end(false, 5);
        let trial = gate.acquire().await;
        assert!(trial.is_trial, "the call after a failure is a trial call");
        let second = tokio::time::timeout(Duration::from_secs(60), gate.acquire()).await;
        assert!(second.is_err(), "other calls wait for the trial call");
        assert!(!trial.end(true, 5), "one failure alone is no loss");
        assert!(!gate.acquire().await.is_trial);
    });
}

#[test]
fn a_dropped_trial_call_lets_the_next_one_start() {
    with_clock(async {
        let gate = StoreGate::default();
        gate.acquire().await.end(false, 5);
        drop(gate.acquire().await);
        assert!(gate.acquire().await.is_trial);
    });
}

#[test]
fn an_available_store_is_called_within_the_longest_pause_and_at_once_on_retry_now() {
    with_clock(async {
        let gate = StoreGate::default();
        gate.acquire().await.end(false, 400);
        for _ in 0..12 {
            gate.acquire().await.end(false, 400);
        }
        let since = Instant::now();
        gate.retry_now();
        let permit = gate.acquire().await;
        assert_eq!(since.elapsed(), Duration::ZERO);
        permit.end(false, 400);
        let permit = gate.acquire().await;
        assert!(
            since.elapsed() <= Duration::from_millis(1_100),
            "{:?}",
            since.elapsed()
        );
        assert!(permit.end(true, 400), "the store was lost before");
    });
}

#[test]
fn failures_of_concurrent_calls_count_once() {
    with_clock(async {
        let gate = StoreGate::default();
        let in_flight = [
            gate.acquire().await,
            gate.acquire().await,
            gate.acquire().await,
        ];
        for permit in in_flight {
            permit.end(false, 52);
        }
        let since = Instant::now();
        gate.acquire().await;
        assert!(
            since.elapsed() <= Duration::from_millis(151),
            "{:?}",
            since.elapsed()
        );
    });
}

/// Two connections in a row may stay silent; a store that is only slow gets a longer time at a
/// later attempt.
#[test]
fn the_first_page_is_requested_a_third_time_within_one_and_a_half_seconds() {
    let lost: Duration = (0..2).map(page_timeout).sum();
    assert!(lost <= Duration::from_millis(1_500), "{lost:?}");
    assert!(
        page_timeout(4) >= Duration::from_secs(3),
        "{:?}",
        page_timeout(4)
    );
    assert!((0..40).all(|n| page_timeout(n) <= page_timeout(n + 1)));
}
