//! Endpoints that serve in no group: told, counted, and freed from groups that are over.

use runrail::logic::direct::{DirectEffect, GroupStep, LookResult, OrderResult};
use runrail::logic::{Effect, NoteCode};

use crate::fixture::{open_group, order, Router};

/// A group of three has lost a member and was told to leave; its head has answered.
fn two_survivors() -> Router {
    let mut router = Router::planner(open_group("g", [1, 2, 3]));
    router.take();
    router.looked("e3", LookResult::Silent);
    router.looked("e3", LookResult::Silent);
    router.pass(60);
    let left = router.take().iter().find_map(|e| match order(e) {
        Some((n, _, GroupStep::Leave { .. })) => Some(n),
        _ => None,
    });
    router.answer_order(left.expect("the head is told"), OrderResult::Done);
    router
}

/// Endpoints that were told to leave the group.
fn freed(effects: &[DirectEffect]) -> Vec<String> {
    let leave = |e| match order(e) {
        Some((_, id, GroupStep::Leave { group, epoch: 3 })) if **group == *"g" => Some(id),
        _ => None,
    };
    effects.iter().filter_map(leave).collect()
}

/// The list shows them in a group that is over; a planner that takes over would wait
/// until its head must have broken.
#[test]
fn members_that_stay_behind_are_told_once_to_leave_a_group_that_is_over() {
    let mut router = two_survivors();
    router.pass(600);
    assert!(
        freed(&router.take()).is_empty(),
        "they may be needed at once"
    );
    router.pass(2_000);
    let mut freed = freed(&router.take());
    freed.sort();
    assert_eq!(freed, ["e1", "e2"], "the lost one is not told");
}

#[test]
fn an_idle_endpoint_is_told_once_with_its_reason_and_counted() {
    let mut router = two_survivors();
    router.pass(3_000);
    let told: Vec<String> = router
        .done
        .iter()
        .filter_map(|e| match e {
            Effect::Note(note) if note.code == NoteCode::EndpointIdle => Some(note.to_string()),
            _ => None,
        })
        .collect();
    assert_eq!(told.len(), 2, "{told:?}");
    assert!(told[0].contains("reason=\"waits\""), "{told:?}");
    let now = router.now;
    let figures = router.state().figures(now);
    let waits = figures.iter().find(|(name, _)| *name == "idle_waits");
    assert_eq!(waits, Some(&("idle_waits", 2)));
}
