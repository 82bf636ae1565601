//! Tests with router processes against the stand-in of the platform and its endpoints, also
//! under random faults.

use std::time::Duration;

use nix::sys::signal::Signal;
use testkit::soak::{judge, soak, write_report, Outcome, Plan, SoakSettings};

use testkit::direct::{call, fleet, logs, served, until, EVENTS};

/// Seeds of the soak test.
const SEEDS: [u64; 3] = [1, 2, 3];

#[test]
fn the_whole_path_serves_streams_and_calls_and_a_stop_cuts_nothing() {
    let dir = tempfile::tempdir().expect("a folder");
    let (standin, mut routers) = fleet(5, dir.path());
    let once = call(routers[1].callers, "POST", "/once/x", "only").expect("an answer");
    assert_eq!(once.status, 200, "{once:?}");
    let none = call(routers[0].callers, "GET", "/none/x", "x").expect("an answer");
    assert_eq!(none.status, 404);
    let metrics = call(routers[0].ready, "GET", "/metrics", "").expect("metrics");
    let counted = "runrail_total_ms_count{account=\"ann\",class=";
    assert!(metrics.body.contains(counted), "{}", metrics.body);
    assert!(
        metrics.body.contains("runrail_groups_open 1"),
        "{}",
        metrics.body
    );
    let callers = routers[0].callers;
    let streaming = std::thread::spawn(move || call(callers, "POST", "/stream/x", "last"));
    std::thread::sleep(Duration::from_millis(60));
    routers[0].signal(Signal::SIGTERM);
    let answer = streaming.join().expect("a thread").expect("an answer");
    assert!(
        answer.complete && answer.events().len() as u64 == EVENTS,
        "{answer:?}"
    );
    until("the router exits cleanly", Duration::from_secs(10), || {
        routers[0]
            .child
            .try_wait()
            .is_ok_and(|s| s.is_some_and(|s| s.success()))
    });
    assert!(standin.world().broken.is_empty());
}

#[test]
fn a_lost_member_is_replaced_and_its_streams_are_whole() {
    let dir = tempfile::tempdir().expect("a folder");
    let (standin, routers) = fleet(5, dir.path());
    for round in 0..2 {
        // The router may learn of the group later than the stand-in shows it.
        until("the router serves", Duration::from_secs(5), || {
            served(&routers[round % 2], "again")
        });
        let group = standin.open_groups().pop().expect("a group");
        let callers = routers[round % 2].callers;
        let streaming = std::thread::spawn(move || call(callers, "POST", "/stream/x", "moved"));
        std::thread::sleep(Duration::from_millis(80));
        // The last member first, then the head.
        let victim = if round == 0 { &group[2] } else { &group[0] };
        standin.kill(victim);
        let answer = streaming.join().expect("a thread").expect("an answer");
        let wanted: Vec<u64> = (1..=EVENTS).collect();
        assert!(answer.complete, "{answer:?}\n{}", logs(dir.path()));
        assert_eq!(answer.events(), wanted, "no event lost, none twice");
        until("the group is back", Duration::from_secs(20), || {
            standin.open_groups().iter().any(|g| !g.contains(victim))
        });
    }
    let broken = standin.world().broken.clone();
    assert!(broken.is_empty(), "{broken:?}");
}

/// Draws faults one after the other and overlapping, while callers keep their connections
/// open. More seeds can be run by hand: `cargo run -p testkit --bin soak -- --seeds 50`.
#[test]
fn random_faults_break_no_promise() {
    let dir = tempfile::tempdir().expect("a folder");
    for seed in SEEDS {
        let settings = SoakSettings {
            seed,
            dir: dir.path().join(seed.to_string()),
            ..SoakSettings::default()
        };
        let plan = Plan::draw(&settings);
        let record = soak(&settings, &plan, |_| {});
        let findings = judge(&record);
        let report = write_report(&settings, &plan, &record, &findings).expect("a report");
        assert!(
            findings.is_empty(),
            "{plan}\n{report}\n{}",
            logs(&settings.dir)
        );
        let whole = record
            .samples
            .iter()
            .filter(|s| s.outcome == Outcome::Whole);
        assert!(whole.count() > 0, "seed {seed}: nothing was served");
    }
}
