//! Which router holds the planner lease, and the fence of its orders.

use runrail::logic::router::StoreChange;
use runrail::logic::Event;

use crate::fixture::{open_group, Router};

const KEY: &str = "runrail/planner/fleet";

/// Reports a change of the planner's key: its holder, or none once it was deleted.
fn set_holder(router: &mut Router, value: Option<&str>) {
    router.feed(Event::Watch(vec![StoreChange {
        key: KEY.to_string(),
        value: value.map(str::to_string),
        revision: 9,
    }]));
}

#[test]
fn the_planner_lease_ends_when_another_router_holds_it_and_is_acquired_when_it_is_free() {
    let mut router = Router::planner(open_group("g", [1, 2, 3]));
    set_holder(&mut router, Some("r2"));
    router.advance_ms(100);
    assert!(!router.holds_lease());
    router.advance_ms(2_000);
    assert!(!router.holds_lease(), "another router holds the lease");
    set_holder(&mut router, None);
    router.advance_ms(200);
    assert!(router.holds_lease());
}

#[test]
fn a_router_takes_over_from_an_earlier_process_of_its_own() {
    let mut router = Router::new(open_group("g", [1, 2, 3]));
    set_holder(&mut router, Some("r1"));
    router.advance_ms(200);
    assert!(router.holds_lease());
}

#[test]
fn orders_carry_the_fence_and_epochs_lie_above_every_earlier_planners() {
    let mut router = Router::planner(open_group("g", [1, 2, 3]));
    let lease = &router.state().plan.lease;
    assert_eq!(lease.fence, crate::fixture::FENCE as u64);
}
