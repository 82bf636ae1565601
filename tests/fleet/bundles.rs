//! A rolled bundle is in force at all routers within seconds and never reverts.

use std::time::Duration;

use testkit::{test_bundle, until, Chat, FleetPlan, PlatformFault, LONG};

use crate::{answered, serving};

/// Longest time until a bundle is in force everywhere: `proof_ms` and a lease in the settings of
/// the tests, with room for a slow machine.
const BOUND: Duration = Duration::from_secs(10);

fn two_routers() -> FleetPlan {
    FleetPlan {
        routers: 2,
        ..FleetPlan::default()
    }
}

#[test]
fn the_author_cannot_approve_and_an_unapproved_bundle_cannot_be_rolled() {
    let fleet = serving(&FleetPlan::default());
    let number = fleet.submit("e1", &test_bundle(1)).to_string();
    let own = fleet.operate("anna", "e1", &["bundle", "approve", &number]);
    assert_eq!(own.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&own.stderr).contains("another operator"));
    let unapproved = fleet.operate("anna", "e1", &["bundle", "roll", &number]);
    assert_eq!(unapproved.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&unapproved.stderr).contains("isn't approved"));
}

#[test]
fn racing_rolls_get_true_answers_and_the_number_only_grows() {
    let fleet = serving(&two_routers());
    let numbers: Vec<_> = (0..3)
        .map(|_| fleet.submit("e1", &test_bundle(1)).to_string())
        .collect();
    for number in &numbers {
        let approved = until(LONG, || {
            fleet
                .operate("ben", "e1", &["bundle", "approve", number])
                .status
                .success()
        });
        assert!(approved);
    }
    assert!(until(LONG, || {
        let list = fleet.operate("anna", "e2", &["bundle", "status"]);
        String::from_utf8_lossy(&list.stdout)
            .matches("approved")
            .count()
            >= 3
    }));
    let won: Vec<_> = std::thread::scope(|scope| {
        let rolls: Vec<_> = numbers
            .iter()
            .enumerate()
            .map(|(i, n)| {
                let router = if i % 2 == 0 { "e1" } else { "e2" };
                let fleet = &fleet;
                scope.spawn(move || {
                    fleet
                        .operate("anna", router, &["bundle", "roll", n])
                        .status
                        .code()
                })
            })
            .collect();
        rolls
            .into_iter()
            .map(|r| r.join().expect("a roll"))
            .collect()
    });
    assert!(won.iter().all(|c| matches!(c, Some(0 | 1))), "{won:?}");
    let highest = (0..3)
        .rev()
        .find(|i| won[*i] == Some(0))
        .expect("one roll succeeded");
    let head: serde_json::Value =
        serde_json::from_str(&fleet.platform.get("runrail/fleet/head").expect("a head"))
            .expect("a head");
    assert_eq!(head["number"].to_string(), numbers[highest]);
    for router in ["e1", "e2"] {
        assert!(until(BOUND, || fleet.status(router)["bundle"] == head["number"]));
    }
}

#[test]
fn a_router_cut_off_from_the_service_learns_from_the_other_one() {
    let fleet = serving(&two_routers());
    fleet.platform_relays["e2"].set_cut(true);
    assert!(until(LONG, || fleet.status("e2")["store_up"] == false));
    let number = fleet.roll(&test_bundle(1));
    assert!(
        until(BOUND, || fleet.status("e2")["bundle"] == number),
        "{}",
        fleet.status("e2")
    );
    answered(&fleet, "e2", &Chat::default());
}

#[test]
fn a_router_cut_off_from_everyone_ahead_takes_no_work_beyond_the_bound() {
    let fleet = serving(&two_routers());
    fleet.platform_relays["e2"].set_cut(true);
    fleet.relays["e1"].set_cut(true);
    fleet.relays["e2"].set_cut(true);
    let stopped = until(BOUND, || fleet.status("e2")["proven"] == false);
    assert!(stopped, "{}", fleet.status("e2"));
    let answer = fleet.chat("e2", &Chat::default());
    assert_eq!(answer.outcome.as_deref(), Some("not_run"), "{answer:?}");
    assert!(answer.retry_after.is_some());
    let number = fleet.roll(&test_bundle(1));
    fleet.platform_relays["e2"].set_cut(false);
    assert!(until(LONG, || fleet.status("e2")["bundle"] == number));
    answered(&fleet, "e2", &Chat::default());
}

#[test]
fn a_roll_whose_answer_is_lost_is_settled_by_reading_back() {
    let fleet = serving(&two_routers());
    let number = fleet.submit("e1", &test_bundle(1)).to_string();
    assert!(until(LONG, || {
        fleet
            .operate("ben", "e1", &["bundle", "approve", &number])
            .status
            .success()
    }));
    fleet.platform.set_fault(PlatformFault::LoseWriteAnswers);
    std::thread::scope(|scope| {
        let roll = scope.spawn(|| fleet.operate("anna", "e1", &["bundle", "roll", &number]));
        std::thread::sleep(Duration::from_millis(400));
        fleet.platform.set_fault(PlatformFault::None);
        let output = roll.join().expect("a roll");
        assert!(output.status.success(), "{output:?}");
    });
    let wanted = number.parse().ok();
    for router in ["e1", "e2"] {
        assert!(until(BOUND, || fleet.status(router)["bundle"].as_u64() == wanted));
    }
}

#[test]
fn an_instance_that_wakes_up_late_gets_the_bundle_in_force() {
    let fleet = serving(&two_routers());
    fleet.routers["e2"].pause();
    let member = fleet.members("e1")[3].clone();
    fleet.agents[&member].pause();
    let number = fleet.roll(&test_bundle(1));
    fleet.routers["e2"].resume();
    fleet.agents[&member].resume();
    assert!(until(LONG, || fleet.status("e2")["bundle"] == number));
    fleet.wait_open(1);
    let adopted = format!("bundle in force bundle=\"{number}\"");
    assert!(
        until(LONG, || !fleet.logged(&member, &adopted).is_empty()),
        "{member} has not adopted the bundle"
    );
    answered(&fleet, "e2", &Chat::default());
}

#[test]
fn a_new_version_is_rolled_group_by_group_without_a_refusal() {
    let fleet = serving(&FleetPlan {
        engines: 8,
        ..two_routers()
    });
    let mut bundle = test_bundle(2);
    bundle["models"][0]["version"] = "2".into();
    bundle["models"][0]["floor"] = 1.into();
    fleet.roll(&bundle);
    let done = until(LONG, || {
        let answer = fleet.chat(
            "e1",
            &Chat {
                pieces: 2,
                ..Chat::default()
            },
        );
        assert!(answer.is_answered(), "refused while rolling: {answer:?}");
        let open = fleet.open_groups("e1");
        open.len() == 2 && open.iter().all(|g| g["version"] == "2")
    });
    assert!(done, "{}", fleet.status("e1"));
}

#[test]
fn a_version_that_fails_to_load_halts_its_roll_and_the_old_one_serves_on() {
    let fleet = serving(&FleetPlan {
        engines: 8,
        ..FleetPlan::default()
    });
    for engine in fleet.engines.values() {
        engine.set_params(|k| k.broken_versions.push("2".into()));
    }
    let mut bundle = test_bundle(2);
    bundle["models"][0]["version"] = "2".into();
    bundle["models"][0]["floor"] = 1.into();
    fleet.roll(&bundle);
    assert!(
        until(LONG, || !fleet.logged("e1", "E415").is_empty()),
        "{}",
        fleet.status("e1")
    );
    let open = fleet.open_groups("e1");
    assert!(open.iter().any(|g| g["version"] == "1"), "{open:?}");
    answered(&fleet, "e1", &Chat::default());
}
