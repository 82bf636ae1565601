//! A request that may not be repeated runs at most once, and its answer arrives complete.

use std::time::Duration;

use testkit::{post, until, Call, Chat, EngineParams, FleetPlan, PlatformFault, DESK_KEY, LONG};

use crate::{answered, assert_at_most_once, serving, whole};

/// A request of class `letter`, which may not be repeated, with an idempotency key.
fn letter(key: &str) -> Chat {
    Chat {
        class: "letter".into(),
        prompt: format!("letter {key}"),
        once: Some(key.into()),
        pieces: 10,
        ..Chat::default()
    }
}

/// Two routers and engines that take 40 ms for each piece, so that failures meet running requests.
fn slow_engines() -> FleetPlan {
    FleetPlan {
        routers: 2,
        engine: EngineParams {
            piece: Duration::from_millis(40),
            ..EngineParams::default()
        },
        ..FleetPlan::default()
    }
}

#[test]
fn the_same_key_at_two_routers_runs_once_and_both_get_the_whole_answer() {
    let fleet = serving(&slow_engines());
    let call = letter("a");
    let answers: Vec<_> = std::thread::scope(|scope| {
        let calls: Vec<_> = ["e1", "e2", "e1"]
            .map(|r| scope.spawn(|| fleet.chat(r, &call)))
            .into_iter()
            .collect();
        calls
            .into_iter()
            .map(|c| c.join().expect("a call"))
            .collect()
    });
    for answer in &answers {
        assert!(answer.is_answered(), "{answer:?}");
        assert_eq!(answer.text, whole("letter a", 10));
    }
    let later = fleet.chat("e2", &call);
    assert_eq!(later.text, whole("letter a", 10), "{later:?}");
    assert_eq!(fleet.fabric.runs().len(), 1);
}

#[test]
fn a_router_killed_after_dispatch_leaves_one_run_and_its_answer() {
    let mut fleet = serving(&slow_engines());
    let call = letter("b");
    let address = fleet.callers("e1");
    let first = std::thread::spawn({
        let call = call.to_call();
        move || post(address, &call)
    });
    assert!(until(LONG, || !fleet.fabric.runs().is_empty()));
    fleet.routers.get_mut("e1").expect("a router").kill();
    assert!(!first.join().expect("a call").is_answered());
    let again = answered(&fleet, "e2", &call);
    assert_eq!(again.text, whole("letter b", 10));
    assert_at_most_once(&fleet, &["letter b"]);
}

#[test]
fn an_agent_restarted_with_empty_memory_runs_nothing_again() {
    let mut fleet = serving(&slow_engines());
    let call = letter("c");
    let leader = fleet.members("e1")[0].clone();
    let (first, again) = std::thread::scope(|scope| {
        let first = scope.spawn({
            let address = fleet.callers("e1");
            let call = call.to_call();
            move || post(address, &call)
        });
        assert!(until(LONG, || !fleet.fabric.runs().is_empty()));
        fleet.agents.get_mut(&leader).expect("an agent").kill();
        fleet.start_agent(&leader);
        fleet.wait_open(1);
        let again = fleet.chat("e2", &call);
        (first.join().expect("a call"), again)
    });
    assert_eq!(first.outcome.as_deref(), Some("unknown"), "{first:?}");
    assert_eq!(again.outcome.as_deref(), Some("unknown"), "{again:?}");
    assert_at_most_once(&fleet, &["letter c"]);
}

#[test]
fn a_cut_between_router_and_leader_neither_loses_nor_doubles_the_answer() {
    let fleet = serving(&slow_engines());
    let call = letter("d");
    let leader = fleet.members("e1")[0].clone();
    let answer = std::thread::scope(|scope| {
        let call = scope.spawn(|| fleet.chat("e1", &call));
        assert!(until(LONG, || !fleet.fabric.runs().is_empty()));
        fleet.relays[&leader].set_cut(true);
        std::thread::sleep(Duration::from_millis(150));
        fleet.relays[&leader].set_cut(false);
        call.join().expect("a call")
    });
    assert!(answer.is_answered(), "{answer:?}");
    assert_eq!(answer.text, whole("letter d", 10));
    assert_at_most_once(&fleet, &["letter d"]);
}

#[test]
fn a_cut_in_a_repeatable_answer_is_continued_where_the_caller_stands() {
    let fleet = serving(&slow_engines());
    let call = Chat {
        pieces: 12,
        ..Chat::default()
    };
    let leader = fleet.members("e1")[0].clone();
    let answer = std::thread::scope(|scope| {
        let call = scope.spawn(|| fleet.chat("e1", &call));
        assert!(until(LONG, || !fleet.fabric.runs().is_empty()));
        std::thread::sleep(Duration::from_millis(100));
        fleet.relays[&leader].set_cut(true);
        fleet.relays[&leader].set_cut(false);
        call.join().expect("a call")
    });
    let text = whole("check this payee", 12);
    if answer.is_answered() {
        assert_eq!(answer.text, text);
    } else {
        // The request was given up: the caller got a prefix of the answer and outcome `unknown`.
        assert!(text.starts_with(&answer.text), "{answer:?}");
        assert_eq!(answer.outcome.as_deref(), Some("unknown"), "{answer:?}");
    }
}

#[test]
fn claims_whose_answers_are_lost_still_lead_to_one_run() {
    let fleet = serving(&slow_engines());
    fleet.platform.set_fault(PlatformFault::LoseWriteAnswers);
    let call = letter("e");
    let answer = std::thread::scope(|scope| {
        let call = scope.spawn(|| fleet.chat("e1", &call));
        std::thread::sleep(Duration::from_millis(300));
        fleet.platform.set_fault(PlatformFault::None);
        call.join().expect("a call")
    });
    if !answer.is_answered() {
        answered(&fleet, "e2", &call);
    }
    assert_at_most_once(&fleet, &["letter e"]);
    assert_eq!(fleet.fabric.runs().len(), 1);
}

#[test]
fn without_the_service_a_letter_is_refused_at_once_and_not_run() {
    let fleet = serving(&slow_engines());
    fleet.platform.set_fault(PlatformFault::Down);
    assert!(until(LONG, || fleet.status("e1")["store_up"] == false));
    let answer = fleet.chat("e1", &letter("f"));
    assert_eq!(answer.outcome.as_deref(), Some("not_run"), "{answer:?}");
    assert!(answer.retry_after.is_some());
    assert!(fleet.fabric.runs().is_empty());
}

#[test]
fn a_key_used_for_another_request_is_refused() {
    let fleet = serving(&slow_engines());
    assert!(fleet.chat("e1", &letter("g")).is_answered());
    let other = Chat {
        prompt: "something else".into(),
        ..letter("g")
    };
    let answer = fleet.chat("e2", &other);
    assert_eq!(
        (answer.status, answer.outcome.as_deref()),
        (422, Some("not_run"))
    );
}

#[test]
fn a_call_to_a_plain_service_that_may_not_be_repeated_runs_once() {
    let fleet = serving(&FleetPlan {
        routers: 2,
        service: true,
        ..FleetPlan::default()
    });
    fleet.service.set_time(Duration::from_millis(300));
    let call = Call {
        path: "/v1/services/checkout/renew".into(),
        body: r#"{"seat":7}"#.into(),
        headers: vec![
            ("Authorization".into(), format!("Bearer {DESK_KEY}")),
            ("Runrail-Class".into(), "letter".into()),
            ("Idempotency-Key".into(), "renewal-7".into()),
        ],
    };
    let mut first = post(fleet.callers("e1"), &call);
    assert!(until(LONG, || {
        first = post(fleet.callers("e1"), &call);
        first.is_answered()
    }));
    let second = post(fleet.callers("e2"), &call);
    assert_eq!(second.text, first.text);
    assert_eq!(fleet.service.runs().len(), 1);
}

#[test]
fn claims_of_many_routers_go_through_a_few_writers() {
    let plan = FleetPlan {
        routers: 6,
        ..FleetPlan::default()
    };
    let mut fleet = serving(&plan);
    let routers: Vec<_> = fleet.routers.keys().cloned().collect();
    for (i, router) in routers.iter().enumerate() {
        let call = letter(&format!("w{i}"));
        let answer = answered(&fleet, router, &call);
        assert_eq!(answer.text, whole(&call.prompt, 10));
    }
    // If a writer has died, the router that needs the claim writes it.
    fleet.routers.get_mut("e1").expect("a router").kill();
    fleet.routers.get_mut("e2").expect("a router").kill();
    for i in 0..6 {
        let call = letter(&format!("x{i}"));
        let answer = answered(&fleet, "e6", &call);
        assert_eq!(answer.text, whole(&call.prompt, 10));
    }
    let once: Vec<_> = (0..6)
        .flat_map(|i| [format!("letter w{i}"), format!("letter x{i}")])
        .collect();
    assert_at_most_once(&fleet, &once.iter().map(String::as_str).collect::<Vec<_>>());
    assert_eq!(fleet.fabric.runs().len(), 12);
}
