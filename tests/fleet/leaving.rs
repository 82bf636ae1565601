//! Orderly leave: no new requests after a few seconds, and none in flight is cut off.

use std::time::Duration;

use testkit::{until, Chat, EngineParams, FleetPlan, LONG};

use crate::{answered, serving, whole};

fn slow_engines(engines: usize) -> FleetPlan {
    FleetPlan {
        engines,
        engine: EngineParams {
            piece: Duration::from_millis(50),
            ..EngineParams::default()
        },
        ..FleetPlan::default()
    }
}

#[test]
fn a_leader_told_to_stop_finishes_its_streams_and_a_spare_takes_over() {
    for index in [0, 2] {
        let mut fleet = serving(&slow_engines(5));
        let member = fleet.members("e1")[index].clone();
        let call = Chat {
            pieces: 60,
            ..Chat::default()
        };
        let answer = std::thread::scope(|scope| {
            let answer = scope.spawn(|| fleet.chat("e1", &call));
            assert!(until(LONG, || !fleet.fabric.runs().is_empty()));
            fleet.agents[&member].terminate();
            answer.join().expect("a call")
        });
        assert!(answer.is_answered(), "{answer:?}");
        assert_eq!(answer.text, whole("check this payee", 60));
        let agent = fleet.agents.get_mut(&member).expect("an agent");
        assert!(
            until(LONG, || agent.ended() == Some(true)),
            "the agent doesn't exit"
        );
        fleet.platform.set_state(&member, None);
        answered(&fleet, "e1", &Chat::default());
        assert!(!fleet.members("e1").contains(&member));
    }
}

#[test]
fn with_enough_spares_the_successor_opens_before_the_group_drains() {
    let fleet = serving(&FleetPlan {
        engines: 9,
        ..slow_engines(9)
    });
    // Nine instances form two groups of four and leave one spare; with one group wanted, five are
    // spare.
    fleet.roll(&testkit::test_bundle(1));
    assert!(until(LONG, || fleet.open_groups("e1").len() == 1));
    let old = fleet.open_groups("e1")[0].clone();
    let leader = old["members"][0].as_str().expect("a name").to_string();
    fleet.platform.set_state(&leader, Some("leaving"));
    let replaced = until(LONG, || {
        let answer = fleet.chat(
            "e1",
            &Chat {
                pieces: 2,
                ..Chat::default()
            },
        );
        assert!(
            answer.is_answered(),
            "a request was refused meanwhile: {answer:?}"
        );
        let open = fleet.open_groups("e1");
        open.len() == 1 && open[0]["id"] != old["id"]
    });
    assert!(replaced, "{}", fleet.status("e1"));
}

#[test]
fn a_leaving_endpoint_gets_nothing_new_although_the_list_lags() {
    let fleet = serving(&slow_engines(4));
    let member = fleet.members("e1")[1].clone();
    // The instance list still shows it as live.
    fleet.agents[&member].terminate();
    let refused = until(Duration::from_secs(10), || {
        !fleet
            .chat(
                "e1",
                &Chat {
                    pieces: 1,
                    ..Chat::default()
                },
            )
            .is_answered()
    });
    assert!(refused, "new requests still run");
    let runs = fleet.fabric.runs().len();
    for _ in 0..5 {
        let answer = fleet.chat(
            "e1",
            &Chat {
                pieces: 1,
                ..Chat::default()
            },
        );
        assert_eq!(answer.outcome.as_deref(), Some("not_run"), "{answer:?}");
    }
    assert_eq!(fleet.fabric.runs().len(), runs);
}

#[test]
fn a_router_told_to_stop_finishes_its_streams_and_takes_nothing_new() {
    let mut fleet = serving(&FleetPlan {
        routers: 2,
        ..slow_engines(4)
    });
    let call = Chat {
        pieces: 30,
        ..Chat::default()
    };
    let answers: Vec<_> = std::thread::scope(|scope| {
        // Eight calls, so that some end in the last step of the process before it exits.
        let calls: Vec<_> = (0..8)
            .map(|_| scope.spawn(|| fleet.chat("e1", &call)))
            .collect();
        assert!(until(LONG, || fleet.fabric.runs().len() == 8));
        fleet.routers["e1"].terminate();
        assert!(until(LONG, || !fleet.logged("e1", "E101").is_empty()));
        let refused = fleet.chat("e1", &Chat::default());
        assert_eq!(refused.outcome.as_deref(), Some("not_run"), "{refused:?}");
        calls
            .into_iter()
            .map(|c| c.join().expect("a call"))
            .collect()
    });
    for answer in answers {
        assert!(answer.is_answered(), "{answer:?}");
        assert_eq!(answer.pieces, 30);
    }
    let router = fleet.routers.get_mut("e1").expect("a router");
    assert!(until(LONG, || router.ended() == Some(true)));
    answered(&fleet, "e2", &Chat::default());
}
