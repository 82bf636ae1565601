//! Groups that lose members: none serves while a member is missing, and no instance is in two
//! groups.

use std::collections::BTreeSet;
use std::time::Duration;

use testkit::{until, Chat, EngineParams, Fleet, FleetPlan, LONG};

use crate::{answered, assert_at_most_once, serving, whole};

/// One way to lose a member.
struct Case {
    name: &'static str,
    /// Rank in the group; 0 is the leader.
    member: usize,
    lose: fn(&mut Fleet, &str),
}

fn kill(fleet: &mut Fleet, id: &str) {
    fleet.fabric.set_down(id, true);
    fleet.agents.get_mut(id).expect("an agent").kill();
}

fn pause(fleet: &mut Fleet, id: &str) {
    fleet.agents[id].pause();
}

fn cut(fleet: &mut Fleet, id: &str) {
    fleet.relays[id].set_cut(true);
}

const CASES: [Case; 5] = [
    Case {
        name: "member killed",
        member: 2,
        lose: kill,
    },
    Case {
        name: "member paused",
        member: 1,
        lose: pause,
    },
    Case {
        name: "member cut off",
        member: 3,
        lose: cut,
    },
    Case {
        name: "leader killed",
        member: 0,
        lose: kill,
    },
    Case {
        name: "leader paused",
        member: 0,
        lose: pause,
    },
];

/// Whether the last event of a leader's log about accepting requests says that its group is open.
fn is_open_at(fleet: &Fleet, leader: &str) -> bool {
    let log = fleet.logged(leader, "group accepts");
    log.last().is_some_and(|l| l.contains("accepts work"))
}

#[test]
fn a_group_that_loses_an_instance_is_repaired_with_a_spare() {
    std::thread::scope(|scope| {
        for case in &CASES {
            scope.spawn(move || check_repair(case));
        }
    });
}

fn check_repair(case: &Case) {
    let mut fleet = serving(&FleetPlan {
        engines: 5,
        ..FleetPlan::default()
    });
    let before = fleet.members("e1");
    let lost = before[case.member].clone();
    (case.lose)(&mut fleet, &lost);
    let replaced = until(LONG, || {
        let now = fleet.members("e1");
        !now.is_empty() && !now.contains(&lost) && !fleet.open_groups("e1").is_empty()
    });
    assert!(replaced, "{}: {}", case.name, fleet.status("e1"));
    let answer = answered(&fleet, "e1", &Chat::default());
    assert_eq!(answer.text, whole("check this payee", 8), "{}", case.name);
    let last = fleet.fabric.runs().pop().expect("a run");
    assert!(last.missing.is_empty(), "{}: {last:?}", case.name);
}

#[test]
fn a_group_without_a_spare_refuses_at_once_and_serves_again_when_its_member_is_back() {
    let mut fleet = serving(&FleetPlan::default());
    let member = fleet.members("e1")[2].clone();
    kill(&mut fleet, &member);
    let refused = until(LONG, || {
        let answer = fleet.chat("e1", &Chat::default());
        answer.outcome.as_deref() == Some("not_run") && answer.retry_after.is_some()
    });
    assert!(refused, "{}", fleet.status("e1"));
    let runs = fleet.fabric.runs().len();
    let answer = fleet.chat("e1", &Chat::default());
    assert_eq!(answer.outcome.as_deref(), Some("not_run"));
    assert_eq!(
        fleet.fabric.runs().len(),
        runs,
        "reported as not run, but it ran"
    );
    fleet.start_agent(&member);
    fleet.fabric.set_down(&member, false);
    answered(&fleet, "e1", &Chat::default());
}

#[test]
fn a_leader_paused_past_its_leases_starts_nothing_when_resumed() {
    let fleet = serving(&FleetPlan {
        engines: 5,
        ..FleetPlan::default()
    });
    let leader = fleet.members("e1")[0].clone();
    // Orders wait in its socket while the process is paused, and are read when it resumes.
    fleet.agents[&leader].pause();
    let call = Chat {
        prompt: "sleeper".into(),
        once: Some("sleeper".into()),
        class: "letter".into(),
        ..Chat::default()
    };
    std::thread::scope(|scope| {
        scope.spawn(|| fleet.chat("e1", &call));
        let replaced = until(LONG, || {
            let now = fleet.members("e1");
            !now.is_empty() && !now.contains(&leader) && !fleet.open_groups("e1").is_empty()
        });
        assert!(replaced, "{}", fleet.status("e1"));
        fleet.agents[&leader].resume();
    });
    answered(&fleet, "e1", &Chat::default());
    assert_at_most_once(&fleet, &["sleeper"]);
    let newest = fleet.fabric.runs().iter().map(|r| r.fence).max();
    let old = fleet
        .fabric
        .runs()
        .into_iter()
        .filter(|r| r.engine == leader && Some(r.fence) < newest);
    assert_eq!(old.filter(|r| !r.missing.is_empty()).count(), 0);
}

#[test]
fn instances_of_two_groups_stay_apart_through_a_storm_of_failures() {
    let mut fleet = serving(&FleetPlan {
        routers: 2,
        engines: 9,
        ..FleetPlan::default()
    });
    let ids: Vec<_> = fleet.agents.keys().cloned().collect();
    for (round, id) in ids.iter().enumerate().take(4) {
        match round % 3 {
            0 => {
                kill(&mut fleet, id);
                std::thread::sleep(Duration::from_millis(300));
                fleet.start_agent(id);
                fleet.fabric.set_down(id, false);
            }
            1 => {
                fleet.agents[id].pause();
                std::thread::sleep(Duration::from_millis(900));
                fleet.agents[id].resume();
            }
            _ => {
                fleet.relays[id].set_cut(true);
                std::thread::sleep(Duration::from_millis(300));
                fleet.relays[id].set_cut(false);
            }
        }
        let _ = fleet.chat(
            "e1",
            &Chat {
                deadline_ms: Some(500),
                ..Chat::default()
            },
        );
        for (key, value) in fleet.platform.scan("runrail/fleet/domain/") {
            let record: serde_json::Value = serde_json::from_str(&value).expect("a record");
            let mut seen = BTreeSet::new();
            for group in record["groups"].as_array().into_iter().flatten() {
                for member in group["members"].as_array().into_iter().flatten() {
                    let name = member["instance"].to_string();
                    assert!(seen.insert(name.clone()), "{key}: {name} is in two groups");
                }
            }
        }
    }
    fleet.wait_open(2);
    let leaders: Vec<_> = fleet
        .open_groups("e1")
        .iter()
        .map(|g| g["members"][0].as_str().unwrap_or_default().to_string())
        .collect();
    assert!(leaders.iter().all(|l| is_open_at(&fleet, l)));
    answered(&fleet, "e2", &Chat::default());
}

#[test]
fn a_model_whose_load_fails_once_opens_after_a_retry() {
    let engine = EngineParams {
        broken_versions: vec!["1".into()],
        ..EngineParams::default()
    };
    let fleet = Fleet::start(
        crate::BINARY,
        &FleetPlan {
            engine,
            ..FleetPlan::default()
        },
    );
    fleet.roll(&testkit::test_bundle(1));
    let failed = until(LONG, || {
        let status = fleet.status("e1");
        status["groups"][0]["state"]
            .as_str()
            .is_some_and(|s| s.starts_with("load failed"))
    });
    assert!(failed, "{}", fleet.status("e1"));
    for engine in fleet.engines.values() {
        engine.set_params(|k| k.broken_versions.clear());
    }
    fleet.wait_open(1);
}
