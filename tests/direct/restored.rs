//! A store that comes back from an older copy: revisions, leases and keys of some seconds
//! are gone, and revisions are given out again.

use std::sync::Arc;
use std::time::Duration;

use runrail::logic::direct::{Digest, DirectEvent, ListPace};
use runrail::logic::router::StoreEntry;
use runrail::logic::{Effect, NoteCode};
use runrail::types::{InstanceId, StorePosition};

use crate::fixture::{empty_digest, hear, open_group, pace, routing, Router, FENCE};
use testkit::direct::config;
use testkit::direct::{fleet, logs, served, until};

/// Writes that a store forgets, and as many that follow: the count passes where it was.
const LOST: usize = 300;

/// A watch went on from a revision of the lost history: once the new count had passed it,
/// a configuration below it was never seen.
#[test]
fn a_configuration_written_after_a_restore_is_in_force_though_the_count_has_passed() {
    let dir = tempfile::tempdir().expect("a folder");
    let (standin, routers) = fleet(4, dir.path());
    let copy = standin.world().copy();
    standin.world().write_unrelated(LOST);
    // Watches end and go on behind what was written.
    standin.world().store_down = true;
    std::thread::sleep(Duration::from_millis(200));
    {
        let mut world = standin.world();
        world.restore(copy);
        world.configure(&config(2));
        world.write_unrelated(2 * LOST);
        world.store_down = false;
    }
    let all = |version| routers.iter().all(|r| r.routing() == Some(version));
    let since = std::time::Instant::now();
    while !all(2) {
        let waited = since.elapsed();
        assert!(waited < Duration::from_secs(4), "{}", logs(dir.path()));
        std::thread::sleep(Duration::from_millis(20));
    }
    standin.world().configure(&config(3));
    until(
        "the next version is in force",
        Duration::from_secs(2),
        || all(3),
    );
}

/// Fences follow the store's revisions: after it had gone back endpoints refused every order
/// of the planner.
#[test]
fn groups_are_repaired_after_the_store_has_gone_back() {
    let dir = tempfile::tempdir().expect("a folder");
    let (standin, routers) = fleet(5, dir.path());
    let copy = standin.world().copy();
    standin.world().write_unrelated(LOST);
    // Whoever plans takes the duty anew, at a revision that the copy doesn't reach.
    let mut routers = routers;
    routers
        .iter_mut()
        .for_each(testkit::direct::Router::restart);
    until("it serves again", Duration::from_secs(20), || {
        routers.iter().all(|r| r.is_ready() && served(r, "before"))
    });
    let first = standin.open_groups().pop().expect("a group");
    standin.kill(&first[1]);
    until("the group is repaired", Duration::from_secs(20), || {
        standin.open_groups().iter().any(|g| !g.contains(&first[1]))
    });
    standin.world().restore(copy);
    let group = standin.open_groups().pop().expect("a group");
    standin.add("late", "pool");
    standin.kill(&group[1]);
    let since = std::time::Instant::now();
    while !standin.open_groups().iter().any(|g| !g.contains(&group[1])) {
        let waited = since.elapsed();
        assert!(waited < Duration::from_secs(20), "{}", logs(dir.path()));
        std::thread::sleep(Duration::from_millis(20));
    }
    let broken = standin.world().broken.clone();
    assert!(broken.is_empty(), "{broken:?}");
}

/// A router that plans, and the store then comes back from a copy.
fn restored_planner() -> Router {
    let mut router = Router::planner(open_group("g", [1, 2, 3]));
    router.tell(DirectEvent::StoreEra(0));
    router.take();
    router.tell(DirectEvent::StoreEra(1));
    router
}

/// A lease of the lost history may be somebody else's now.
#[test]
fn the_duty_ends_with_the_history_in_which_it_was_taken() {
    let mut router = restored_planner();
    assert!(!router.holds());
    router.pass(1_500);
    assert!(
        !router.holds(),
        "an earlier holder may still believe in its lease"
    );
    router.pass(1_500);
    assert!(router.holds());
}

/// Endpoints refuse a fence lower than the one they have seen, and groups an earlier epoch.
#[test]
fn a_fence_of_a_later_history_is_above_every_earlier_one() {
    let before = StorePosition {
        era: 0,
        revision: 1_000_000,
    };
    let after = StorePosition {
        era: 1,
        revision: 990_000,
    };
    assert!(after > before && after.fence() > before.fence());
    let mut router = restored_planner();
    router.pass(3_000);
    assert!(router.state().plan.duty.fence > FENCE as u64);
}

/// A router that has just started didn't see the store go back, but its own keys tell.
#[test]
fn a_router_that_starts_after_a_restore_waits_as_well() {
    let mut router = Router::new(open_group("g", [1, 2, 3]));
    router.tell(DirectEvent::StoreEra(1));
    router.kept.push(StoreEntry {
        key: "runrail/planner/era".to_string(),
        value: "0".to_string(),
        revision: 1,
    });
    router.pass(1_500);
    assert!(!router.holds());
    router.pass(1_500);
    assert!(router.holds());
}

/// A planner's word about a history that is over held readers back from the next one.
#[test]
fn a_digest_of_another_history_stands_in_for_nothing() {
    let routers = ["r0", "r1"].map(InstanceId::new);
    let mut router = Router::named("r1", &routers, open_group("g", [1, 2, 3]));
    router.tell(DirectEvent::StoreEra(0));
    hear_of(&mut router, 1, 0, FENCE);
    assert_eq!(pace(&mut router), Some((ListPace::Told, true)));
    // Its sender knows already that the store has gone back.
    hear_of(&mut router, 2, 1, 1);
    assert_eq!(pace(&mut router), Some((ListPace::Rest, false)));
    router.tell(DirectEvent::StoreEra(1));
    router.tell(DirectEvent::List {
        at: StorePosition {
            era: 1,
            revision: 2,
        },
        entries: open_group("g", [1, 2, 3]),
    });
    hear_of(&mut router, 3, 1, 2);
    assert_eq!(pace(&mut router), Some((ListPace::Told, true)));
    router.pass(1_300);
    router.take();
    // Another sender doesn't know it yet.
    hear_of(&mut router, 4, 0, FENCE + 900);
    assert_eq!(pace(&mut router), None);
}

fn hear_of(router: &mut Router, number: u64, era: u64, revision: i64) {
    let upto = StorePosition { era, revision };
    let digest = Digest {
        fence: upto.fence(),
        ..empty_digest(number, upto)
    };
    hear(router, digest);
}

/// An older document of the operators is told and changes nothing.
#[test]
fn the_routing_in_force_stays_when_the_store_shows_an_older_one() {
    let mut router = Router::new(open_group("g", [1, 2, 3]));
    router.tell(DirectEvent::Routing(Arc::new(routing(5))));
    router.done.clear();
    router.tell(DirectEvent::Routing(Arc::new(routing(4))));
    let told = |e: &Effect| matches!(e, Effect::Note(n) if n.code == NoteCode::RoutingOlder);
    assert!(router.done.iter().any(told));
    assert_eq!(router.state().routing.as_ref().map(|r| r.version), Some(5));
}
