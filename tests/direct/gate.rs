//! Calls to a store that is away: few, one at a time, and again soon once it is back.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use runrail::link::{page_time, StoreGate};
use tokio::time::{sleep, Instant};

/// Calls that so many watches of one router make in some seconds to a store that answers
/// none of them, on a clock that runs as fast as it can.
fn calls(watches: usize, seconds: u64, routers: usize) -> usize {
    with_clock(async move {
        let gate = Rc::new(StoreGate::default());
        let made = Rc::new(Cell::new(0));
        for _ in 0..watches {
            let (gate, made) = (gate.clone(), made.clone());
            tokio::task::spawn_local(async move {
                loop {
                    let pass = gate.pass().await;
                    made.set(made.get() + 1);
                    sleep(Duration::from_millis(5)).await;
                    pass.end(false, routers);
                }
            });
        }
        sleep(Duration::from_secs(seconds)).await;
        made.get()
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
fn a_store_that_is_away_is_tried_two_or_three_times_a_second_by_each_router() {
    for routers in [5, 52, 400] {
        let one: usize = (0..20).map(|_| calls(3, 60, routers)).sum();
        let in_a_minute = one / 20;
        assert!(in_a_minute <= 60 * 4, "{routers} routers: {in_a_minute}");
    }
}

#[test]
fn one_try_is_made_at_a_time_and_tells_all_others() {
    with_clock(async {
        let gate = StoreGate::default();
        gate.pass().await.end(false, 5);
        let one = gate.pass().await;
        assert!(one.tries, "a short call is wanted");
        let second = tokio::time::timeout(Duration::from_secs(60), gate.pass()).await;
        assert!(second.is_err(), "the others wait for it");
        assert!(!one.end(true, 5), "one failure alone is no loss");
        assert!(!gate.pass().await.tries);
    });
}

#[test]
fn a_try_that_is_given_up_lets_the_next_one_go() {
    with_clock(async {
        let gate = StoreGate::default();
        gate.pass().await.end(false, 5);
        drop(gate.pass().await);
        assert!(gate.pass().await.tries);
    });
}

#[test]
fn the_return_is_found_within_the_longest_pause_and_at_once_after_a_hint() {
    with_clock(async {
        let gate = StoreGate::default();
        gate.pass().await.end(false, 400);
        for _ in 0..12 {
            gate.pass().await.end(false, 400);
        }
        let since = Instant::now();
        gate.hint();
        let pass = gate.pass().await;
        assert_eq!(since.elapsed(), Duration::ZERO);
        pass.end(false, 400);
        let pass = gate.pass().await;
        assert!(
            since.elapsed() <= Duration::from_millis(1_100),
            "{:?}",
            since.elapsed()
        );
        assert!(pass.end(true, 400), "it was lost and has come back");
    });
}

#[test]
fn failures_beside_the_try_count_once() {
    with_clock(async {
        let gate = StoreGate::default();
        let under_way = [gate.pass().await, gate.pass().await, gate.pass().await];
        for pass in under_way {
            pass.end(false, 52);
        }
        let since = Instant::now();
        gate.pass().await;
        assert!(
            since.elapsed() <= Duration::from_millis(151),
            "{:?}",
            since.elapsed()
        );
    });
}

/// Two connections in a row may be silent; a store that is only busy gets its time.
#[test]
fn a_first_page_that_stays_away_is_asked_for_again_within_a_second_or_so() {
    let lost: Duration = (0..2).map(page_time).sum();
    assert!(lost <= Duration::from_millis(1_500), "{lost:?}");
    assert!(page_time(4) >= Duration::from_secs(3), "{:?}", page_time(4));
    assert!((0..40).all(|n| page_time(n) <= page_time(n + 1)));
}
