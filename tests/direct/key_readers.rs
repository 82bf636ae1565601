//! How routers get the operators' keys once the planner tells of a newer routing: few read the
//! store, the others ask them.

use std::time::Duration;

use testkit::direct::{config, start_fleet, until, Router};

/// Whole readings of a prefix by a router that the store answered.
fn whole_readings(router: &Router) -> u64 {
    let metrics = router.metrics();
    let line = "runrail_store_calls_total{use=\"read_whole\",outcome=\"answered\"} ";
    let count = metrics.lines().find_map(|l| l.strip_prefix(line));
    count.and_then(|c| c.parse().ok()).unwrap_or(0)
}

/// Guards against a change of the routing that costs the store one call for each router.
#[test]
fn a_new_routing_is_read_by_few_routers_however_many_there_are() {
    let count = 14;
    let dir = tempfile::tempdir().expect("a folder");
    let (standin, routers) = start_fleet(count, 4, dir.path());
    let limit = Duration::from_secs(10);
    let knows_all = format!("runrail_routers_known {count}");
    until("all know each other", limit, || {
        routers.iter().all(|r| r.metrics().contains(&knows_all))
    });
    // Digests replace the watches of all but the planner by now.
    std::thread::sleep(Duration::from_secs(3));
    let sum = || routers.iter().map(whole_readings).sum::<u64>();
    let before = sum();
    for version in 2..=4 {
        standin.world().configure(&config(version));
        until("the routing is in force", Duration::from_secs(2), || {
            routers.iter().all(|r| r.routing() == Some(version))
        });
        std::thread::sleep(Duration::from_millis(800));
    }
    let readings = sum() - before;
    assert!(readings > 0, "nobody read it");
    assert!(readings <= 3 * 8, "{readings} readings of 3 versions");
}
