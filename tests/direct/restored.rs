//! A store that is restored from a backup: the leases, keys and revisions of the last seconds
//! are gone, and the revisions are used again.

use std::sync::Arc;
use std::time::Duration;

use runrail::logic::direct::{Digest, DirectEvent, ListPace};
use runrail::logic::router::StoreEntry;
use runrail::logic::{Effect, LogCode};
use runrail::types::{InstanceId, StorePosition};

use crate::fixture::{empty_digest, open_group, pace, receive_digest, routing, Router, FENCE};
use testkit::direct::config;
use testkit::direct::{fleet, logs, served, until};

/// Writes that the store loses. Where twice as many follow, revisions pass the earlier ones.
const LOST: usize = 300;

/// Guards against a watch that goes on from a revision of before the restore: once revisions have
/// passed it, it never sees a configuration written below it.
#[test]
fn a_configuration_written_after_a_restore_is_applied_though_revisions_have_passed_the_old_ones() {
    let dir = tempfile::tempdir().expect("a folder");
    let (standin, routers) = fleet(4, dir.path());
    let copy = standin.world().backup();
    standin.world().write_unrelated(LOST);
    // Watches end, and would go on from the last revision that they saw.
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

/// Guards against fences that fall with the store's revisions after a restore, so that endpoints
/// refuse every order of the planner.
#[test]
fn groups_are_repaired_after_the_store_was_restored() {
    let dir = tempfile::tempdir().expect("a folder");
    let (standin, routers) = fleet(5, dir.path());
    let copy = standin.world().backup();
    standin.world().write_unrelated(LOST);
    // The planner lease is taken anew, at a revision above those of the backup.
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

/// A planner whose store was just restored from a backup.
fn restored_planner() -> Router {
    let mut router = Router::planner(open_group("g", [1, 2, 3]));
    router.tell(DirectEvent::StoreEra(0));
    router.take_effects();
    router.tell(DirectEvent::StoreEra(1));
    router
}

/// After a restore the number of the lost lease may be given to another router.
#[test]
fn the_planner_lease_ends_when_the_store_is_restored() {
    let mut router = restored_planner();
    assert!(!router.holds_lease());
    router.advance_ms(1_500);
    assert!(
        !router.holds_lease(),
        "an earlier holder may still believe in its lease"
    );
    router.advance_ms(1_500);
    assert!(router.holds_lease());
}

/// Endpoints refuse a fence lower than the one they have seen, and groups an earlier epoch.
#[test]
fn a_fence_of_a_later_era_is_above_every_earlier_one() {
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
    router.advance_ms(3_000);
    assert!(router.state().plan.lease.fence > FENCE as u64);
}

/// A router that has just started didn't see the restore, but the routers' keys show it.
#[test]
fn a_router_that_starts_after_a_restore_waits_as_well() {
    let mut router = Router::new(open_group("g", [1, 2, 3]));
    router.tell(DirectEvent::StoreEra(1));
    router.store_entries.push(StoreEntry {
        key: "runrail/planner/era".to_string(),
        value: "0".to_string(),
        revision: 1,
    });
    router.advance_ms(1_500);
    assert!(!router.holds_lease());
    router.advance_ms(1_500);
    assert!(router.holds_lease());
}

/// Guards against digests about an earlier era that keep routers from reading the next one.
#[test]
fn a_digest_of_another_era_suspends_no_reading() {
    let routers = ["r0", "r1"].map(InstanceId::new);
    let mut router = Router::named("r1", &routers, open_group("g", [1, 2, 3]));
    router.tell(DirectEvent::StoreEra(0));
    receive_empty_digest(&mut router, 1, 0, FENCE);
    assert_eq!(pace(&mut router), Some((ListPace::Paused, true)));
    // Its sender already knows that the store was restored.
    receive_empty_digest(&mut router, 2, 1, 1);
    assert_eq!(pace(&mut router), Some((ListPace::Slow, false)));
    router.tell(DirectEvent::StoreEra(1));
    router.tell(DirectEvent::ListRead {
        at: StorePosition {
            era: 1,
            revision: 2,
        },
        entries: open_group("g", [1, 2, 3]),
    });
    receive_empty_digest(&mut router, 3, 1, 2);
    assert_eq!(pace(&mut router), Some((ListPace::Paused, true)));
    router.advance_ms(1_300);
    router.take_effects();
    // Another sender doesn't know that yet.
    receive_empty_digest(&mut router, 4, 0, FENCE + 900);
    assert_eq!(pace(&mut router), None);
}

fn receive_empty_digest(router: &mut Router, number: u64, era: u64, revision: i64) {
    let upto = StorePosition { era, revision };
    let digest = Digest {
        fence: upto.fence(),
        ..empty_digest(number, upto)
    };
    receive_digest(router, digest);
}

/// An older document of the operators is logged and changes nothing.
#[test]
fn the_routing_in_force_stays_when_the_store_shows_an_older_one() {
    let mut router = Router::new(open_group("g", [1, 2, 3]));
    router.tell(DirectEvent::Routing(Arc::new(routing(5))));
    router.effects.clear();
    router.tell(DirectEvent::Routing(Arc::new(routing(4))));
    let is_logged = |e: &Effect| matches!(e, Effect::Log(n) if n.code == LogCode::RoutingOlder);
    assert!(router.effects.iter().any(is_logged));
    assert_eq!(router.state().routing.as_ref().map(|r| r.version), Some(5));
}
