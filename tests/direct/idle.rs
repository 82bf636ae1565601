//! Endpoints that serve in no group: logged, counted, and ordered to leave ended groups.

use runrail::logic::direct::{DirectEffect, GroupStep, OrderResult, ProbeResult};
use runrail::logic::{Effect, LogCode};

use crate::fixture::{open_group, order, Router};

/// A group of three that has lost a member and has ended: its head has left as ordered.
fn two_survivors() -> Router {
    let mut router = Router::planner(open_group("g", [1, 2, 3]));
    router.take_effects();
    router.answer_probe("e3", ProbeResult::Silent);
    router.answer_probe("e3", ProbeResult::Silent);
    router.advance_ms(60);
    let left = router.take_effects().iter().find_map(|e| match order(e) {
        Some((n, _, GroupStep::Leave { .. })) => Some(n),
        _ => None,
    });
    router.answer_order(
        left.expect("the head is ordered to leave"),
        OrderResult::Done,
    );
    router
}

/// Endpoints that were ordered to leave the group.
fn freed(effects: &[DirectEffect]) -> Vec<String> {
    let leave = |e| match order(e) {
        Some((_, id, GroupStep::Leave { group, epoch: 3 })) if **group == *"g" => Some(id),
        _ => None,
    };
    effects.iter().filter_map(leave).collect()
}

/// While the list shows them in the ended group, a new planner would wait until the head of
/// that group must have broken.
#[test]
fn remaining_members_of_an_ended_group_are_ordered_once_to_leave_it() {
    let mut router = two_survivors();
    router.advance_ms(600);
    assert!(
        freed(&router.take_effects()).is_empty(),
        "they may be needed at once"
    );
    router.advance_ms(2_000);
    let mut freed = freed(&router.take_effects());
    freed.sort();
    assert_eq!(freed, ["e1", "e2"], "the lost one gets no order");
}

#[test]
fn an_idle_endpoint_is_logged_once_with_its_reason_and_counted() {
    let mut router = two_survivors();
    router.advance_ms(3_000);
    let events: Vec<String> = router
        .effects
        .iter()
        .filter_map(|e| match e {
            Effect::Log(event) if event.code == LogCode::EndpointIdle => Some(event.to_string()),
            _ => None,
        })
        .collect();
    assert_eq!(events.len(), 2, "{events:?}");
    assert!(events[0].contains("reason=\"waits\""), "{events:?}");
    let now = router.now;
    let metrics = router.state().metrics(now);
    let waits = metrics.iter().find(|(name, _)| *name == "idle_waits");
    assert_eq!(waits, Some(&("idle_waits", 2)));
}
