//! Orders of a planner: sent only while its lease holds, and not too many at a time.

use runrail::logic::direct::{DirectEffect, DirectState, OrderResult};
use runrail::logic::{Effect, LogCode};
use runrail::types::{EndpointEntry, InstanceId};

use crate::fixture::{engine, order, Router};

/// Free engines in domains of three.
fn free_engines(count: u16) -> Vec<(InstanceId, EndpointEntry)> {
    let engine = |n: u16| {
        let (id, mut entry) = engine(n, None);
        entry.domain = format!("d{}", n / 3).into();
        (id, entry)
    };
    (0..count).map(engine).collect()
}

/// A planner whose next pass forms a group of each domain.
fn planner(domains: u16) -> Router {
    let mut router = Router::planner(Vec::new());
    router.advance_ms(400);
    for (id, entry) in free_engines(domains * 3) {
        router.change(id.as_str(), Some(entry));
    }
    router.take_effects();
    router
}

fn orders(effects: &[DirectEffect]) -> Vec<u64> {
    let orders = effects.iter().filter_map(|e| order(e).map(|o| o.0));
    orders.collect()
}

/// Guards against a planner that takes longer over a pass than its lease lasts, and gives its
/// orders although another planner may have taken over.
#[test]
fn orders_of_a_pass_that_outlasts_the_lease_are_dropped() {
    let mut router = planner(1);
    router.step_ms = 2_000;
    router.advance_ms(2_000);
    assert_eq!(orders(&router.take_effects()), Vec::<u64>::new());
    let mut router = planner(1);
    router.step_ms = 2_000;
    router.advance_ms(2_000);
    let dropped = |e: &Effect| matches!(e, Effect::Log(l) if l.code == LogCode::OrdersDropped);
    assert!(router.effects.iter().any(dropped), "{:?}", router.effects);
}

#[test]
fn a_planner_waits_for_results_before_it_sends_more_orders() {
    let mut router = planner(100);
    router.advance_ms(400);
    let first = orders(&router.take_effects());
    assert_eq!(first.len(), 128);
    for number in &first[..40] {
        router.answer_order(*number, OrderResult::Begun);
    }
    let next = orders(&router.take_effects());
    assert_eq!(next.len(), 40);
    // What is given again meanwhile isn't queued twice.
    let queued = |state: &DirectState| state.plan.order_queue.len();
    let before = queued(router.state());
    router.advance_ms(1_000);
    assert!(queued(router.state()) <= before + first.len() + next.len());
}
