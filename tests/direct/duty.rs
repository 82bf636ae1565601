//! The planner's duty.

use runrail::logic::router::StoreChange;
use runrail::logic::Event;

use crate::fixture::{open_group, Router};

const KEY: &str = "runrail/planner/fleet";

fn holder(router: &mut Router, value: Option<&str>) {
    router.feed(Event::Watch(vec![StoreChange {
        key: KEY.to_string(),
        value: value.map(str::to_string),
        revision: 9,
    }]));
}

#[test]
fn the_duty_ends_when_another_router_holds_it_and_is_taken_when_it_is_free() {
    let mut router = Router::planner(open_group("g", [1, 2, 3]));
    holder(&mut router, Some("r2"));
    router.pass(100);
    assert!(!router.holds());
    router.pass(2_000);
    assert!(!router.holds(), "nobody takes what another one holds");
    holder(&mut router, None);
    router.pass(200);
    assert!(router.holds());
}

#[test]
fn a_router_takes_over_from_an_earlier_life_of_its_own_process() {
    let mut router = Router::new(open_group("g", [1, 2, 3]));
    holder(&mut router, Some("r1"));
    router.pass(200);
    assert!(router.holds());
}

#[test]
fn orders_carry_the_fence_and_epochs_lie_above_every_earlier_planners() {
    let mut router = Router::planner(open_group("g", [1, 2, 3]));
    let duty = &router.state().plan.duty;
    assert_eq!(duty.fence, crate::fixture::FENCE as u64);
}
