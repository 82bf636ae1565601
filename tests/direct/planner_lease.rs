//! Which router holds the planner lease, and the fence of its orders.

use runrail::logic::router::{StoreCall, StoreChange, StoreEntry};
use runrail::logic::{Effect, Event};
use runrail::types::InstanceId;

use crate::fixture::{addr, open_group, Router};

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
    router.store_entries = vec![StoreEntry {
        key: KEY.to_string(),
        value: "r1".to_string(),
        revision: 9,
    }];
    router.advance_ms(200);
    assert!(router.holds_lease());
}

#[test]
fn orders_carry_the_fence_and_epochs_lie_above_every_earlier_planners() {
    let mut router = Router::planner(open_group("g", [1, 2, 3]));
    let lease = &router.state().plan.lease;
    assert_eq!(lease.fence, crate::fixture::FENCE as u64);
}

/// A router that starts while the store has no key of the product.
fn first_of_system(n: u64) -> Router {
    let mut router = Router::bare();
    let state = router.state();
    state.own_id = InstanceId::new(&format!("r{n}"));
    state.seed = n + 1;
    state.own_addr = Some(addr(2_000));
    state.retries_from = None;
    router
}

/// When a router requests the planner lease, in milliseconds after its start.
fn requested_after(router: &mut Router) -> u64 {
    let start = router.now;
    // The first lease is that of the own address.
    let mut grants = 0;
    while grants < 2 {
        router.advance_ms(20);
        let effects = std::mem::take(&mut router.effects);
        let is_grant = |e: &&Effect| {
            matches!(
                e,
                Effect::Store {
                    op: StoreCall::Grant { .. },
                    ..
                }
            )
        };
        grants += effects.iter().filter(is_grant).count();
        assert!(router.now < start + 5_000, "no request");
    }
    router.now - start
}

/// Guards against routers that all request the planner lease at once as they don't know yet how
/// many they are: each but one would write to the store in vain.
#[test]
fn of_many_routers_that_start_together_few_request_the_free_lease_at_once() {
    let count = 123;
    let request = |n: u64| {
        let mut router = first_of_system(n);
        router.initialize(open_group("g", [1, 2, 3]));
        // The others have registered soon after this one has read the keys.
        let registered = (0..count)
            .filter(|other| *other != n)
            .map(|other| StoreChange {
                key: format!("runrail/router/r{other}"),
                value: Some(addr(2_000 + other as u16).to_string()),
                revision: 2,
            });
        router.feed(Event::Tick);
        router.feed(Event::Watch(registered.collect()));
        requested_after(&mut router)
    };
    let mut requests: Vec<_> = (0..count).map(request).collect();
    requests.sort();
    let first = requests[0];
    // The watch of the key may pause for 300 ms before it reports that the lease is held.
    let together = requests.iter().filter(|at| **at <= first + 300).count();
    assert!(
        together <= 12,
        "{together} of {count}, {first} ms after the start"
    );
}

#[test]
fn a_router_alone_takes_the_free_lease_within_half_a_second() {
    let mut router = first_of_system(0);
    router.initialize(open_group("g", [1, 2, 3]));
    router.advance_ms(500);
    assert!(router.holds_lease());
}
