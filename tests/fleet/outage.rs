//! Outages of the platform's key-value service, and an instance list that lacks a live instance.

use std::time::Duration;

use testkit::{until, Chat, FleetPlan, PlatformFault, LONG};

use crate::{answered, serving};

#[test]
fn a_total_outage_of_the_service_stops_no_group() {
    let fleet = serving(&FleetPlan {
        routers: 2,
        ..FleetPlan::default()
    });
    fleet.platform.set_fault(PlatformFault::Down);
    assert!(until(LONG, || fleet.status("e1")["store_up"] == false));
    // Longer than `proof_ms` and several leases in the settings of the tests.
    let start = std::time::Instant::now();
    while start.elapsed() < Duration::from_secs(4) {
        for router in ["e1", "e2"] {
            answered(&fleet, router, &Chat::default());
        }
    }
    assert_eq!(fleet.status("e1")["proven"], true);
    fleet.platform.set_fault(PlatformFault::None);
    assert!(until(LONG, || fleet.status("e1")["store_up"] == true));
    answered(&fleet, "e1", &Chat::default());
}

#[test]
fn a_slow_service_slows_no_answer() {
    let fleet = serving(&FleetPlan::default());
    fleet
        .platform
        .set_fault(PlatformFault::Slow(Duration::from_millis(300)));
    for _ in 0..10 {
        answered(&fleet, "e1", &Chat::default());
    }
}

#[test]
fn a_group_lost_in_an_outage_is_repaired_after_it() {
    let mut fleet = serving(&FleetPlan {
        engines: 5,
        ..FleetPlan::default()
    });
    fleet.platform.set_fault(PlatformFault::Down);
    let member = fleet.members("e1")[1].clone();
    fleet.fabric.set_down(&member, true);
    fleet.agents.get_mut(&member).expect("an agent").kill();
    assert!(until(LONG, || fleet.open_groups("e1").is_empty()));
    let answer = fleet.chat("e1", &Chat::default());
    assert_eq!(answer.outcome.as_deref(), Some("not_run"), "{answer:?}");
    fleet.platform.set_fault(PlatformFault::None);
    answered(&fleet, "e1", &Chat::default());
}

#[test]
fn a_list_that_lost_a_living_leader_stops_no_group_until_it_is_really_gone() {
    let mut fleet = serving(&FleetPlan {
        engines: 5,
        ..FleetPlan::default()
    });
    let leader = fleet.members("e1")[0].clone();
    fleet.platform.set_state(&leader, None);
    // Once the planner has the new list, the group that still works must stay as it is.
    let has_list = || {
        let spares = fleet.status("e1")["spares"].clone();
        spares.as_array().is_some_and(|s| s.len() == 1)
    };
    assert!(until(LONG, has_list));
    for _ in 0..20 {
        answered(&fleet, "e1", &Chat::default());
    }
    assert_eq!(fleet.members("e1")[0], leader);
    fleet.fabric.set_down(&leader, true);
    fleet.agents.get_mut(&leader).expect("an agent").kill();
    let repaired = until(LONG, || {
        !fleet.members("e1").contains(&leader) && !fleet.open_groups("e1").is_empty()
    });
    assert!(repaired, "{}", fleet.status("e1"));
    answered(&fleet, "e1", &Chat::default());
}
