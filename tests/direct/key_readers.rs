//! How routers get the operators' keys once the planner tells of a newer routing: few read the
//! store, the others ask them.

use std::path::Path;
use std::time::Duration;

use testkit::direct::{config, start_fleet, until, Router, Standin};

/// Whole readings of a prefix by a router that the store answered.
fn whole_readings(router: &Router) -> u64 {
    let metrics = router.metrics();
    let line = "runrail_store_calls_total{use=\"read_whole\",outcome=\"answered\"} ";
    let count = metrics.lines().find_map(|l| l.strip_prefix(line));
    count.and_then(|c| c.parse().ok()).unwrap_or(0)
}

/// Number of routers, more than the eight that read the store.
const ROUTERS: usize = 14;

/// A fleet whose routers know each other and are told of changes by the planner.
fn settled_fleet(dir: &Path) -> (Standin, Vec<Router>) {
    let (standin, routers) = start_fleet(ROUTERS, 4, dir);
    let limit = Duration::from_secs(10);
    let knows_all = format!("runrail_routers_known {ROUTERS}");
    until("all know each other", limit, || {
        routers.iter().all(|r| r.metrics().contains(&knows_all))
    });
    // Digests replace the watches of all but the planner by now.
    std::thread::sleep(Duration::from_secs(3));
    (standin, routers)
}

/// Whole readings by all routers.
fn readings(routers: &[Router]) -> u64 {
    routers.iter().map(whole_readings).sum()
}

/// Puts a routing in force at all routers, and waits until all have settled on it.
fn put_in_force(standin: &Standin, routers: &[Router], version: u64, text: &str) {
    standin.world().configure(text);
    until("the routing is in force", Duration::from_secs(2), || {
        routers.iter().all(|r| r.routing() == Some(version))
    });
    std::thread::sleep(Duration::from_millis(800));
}

/// Guards against a change of the routing that costs the store one call for each router.
#[test]
fn a_new_routing_is_read_by_few_routers_however_many_there_are() {
    let dir = tempfile::tempdir().expect("a folder");
    let (standin, routers) = settled_fleet(dir.path());
    let before = readings(&routers);
    for version in 2..=4 {
        put_in_force(&standin, &routers, version, &config(version));
    }
    let read = readings(&routers) - before;
    assert!(read > 0, "nobody read it");
    assert!(read <= 3 * 8, "{read} readings of 3 versions");
}

/// Guards against routers whose links are taken up by sending a large routing to others, so that
/// their probes of endpoints come too late.
#[test]
fn a_large_routing_is_read_by_each_router() {
    let dir = tempfile::tempdir().expect("a folder");
    let (standin, routers) = settled_fleet(dir.path());
    let mut large: serde_json::Value = serde_json::from_str(&config(2)).expect("JSON");
    let tenant =
        |n| serde_json::json!({"Name": format!("tenant-{n}"), "ApiKeys": [format!("key-{n}")]});
    let tenants = large["Tenants"].as_array_mut().expect("a list");
    tenants.extend((0..4_000).map(tenant));
    let before = readings(&routers);
    put_in_force(&standin, &routers, 2, &large.to_string());
    let read = readings(&routers) - before;
    // The planner follows its watch.
    assert!(read >= ROUTERS as u64 - 1, "{read} of {ROUTERS} read it");
}
