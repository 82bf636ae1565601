//! A store that comes back from an older copy: revisions, leases and keys of some seconds
//! are gone, and revisions are given out again.

use std::time::Duration;

use crate::processes::{fleet, logs, served, until};
use crate::standin::config;

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
        .for_each(crate::processes::Router::restart);
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
