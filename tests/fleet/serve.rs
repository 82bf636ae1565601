//! Requests are served end to end; `explain`, metrics and logs show their course without secrets.

use testkit::{post, Call, Chat, FleetPlan, DESK_KEY, LONG};

use crate::serving;

#[test]
fn a_chat_is_streamed_whole_through_separate_processes() {
    let fleet = serving(&FleetPlan::default());
    let answer = fleet.chat("e1", &Chat::default());
    assert!(answer.is_answered(), "{answer:?}");
    assert_eq!(answer.pieces, 8);
    assert_eq!(
        answer.text,
        "check0 this1 payee2 check3 this4 payee5 check6 this7 "
    );
    assert_eq!(fleet.fabric.runs().len(), 1);
    assert!(fleet.fabric.runs()[0].missing.is_empty());
}

#[test]
fn a_plain_service_call_is_served_end_to_end() {
    let fleet = serving(&FleetPlan {
        service: true,
        ..FleetPlan::default()
    });
    let call = Call {
        path: "/v1/services/checkout/seats/take".into(),
        body: r#"{"seat":7}"#.into(),
        headers: vec![("Authorization".into(), format!("Bearer {DESK_KEY}"))],
    };
    let mut answer = post(fleet.callers("e1"), &call);
    testkit::until(LONG, || {
        answer = post(fleet.callers("e1"), &call);
        answer.is_answered()
    });
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(fleet.service.runs()[0].path, "/seats/take");
    assert_eq!(fleet.service.runs()[0].body, r#"{"seat":7}"#);
}

#[test]
fn a_killed_member_is_explained_and_a_request_is_followed_by_its_id() {
    let mut fleet = serving(&FleetPlan {
        engines: 5,
        ..FleetPlan::default()
    });
    let answer = fleet.chat("e1", &Chat::default());
    let request = answer.request.expect("an id");
    let output = fleet.operate("anna", "e1", &["explain", &request]);
    let text = String::from_utf8_lossy(&output.stdout).to_string();
    assert!(text.contains("E500") && text.contains("E502"), "{text}");
    let leader = fleet.members("e1")[0].clone();
    let lost = fleet.members("e1")[2].clone();
    fleet.fabric.set_down(&lost, true);
    fleet.agents.get_mut(&lost).expect("an agent").kill();
    let mut text = String::new();
    let explained = testkit::until(LONG, || {
        let output = fleet.operate("anna", "e1", &["explain", &lost]);
        text = String::from_utf8_lossy(&output.stdout).to_string();
        text.contains("E411") && text.contains("from=\"spare\"")
    });
    assert!(explained, "{text}");
    assert!(!fleet.logged(&leader, "E213").is_empty());
    let metrics = fleet.operate("anna", "e1", &["metrics"]);
    let text = String::from_utf8_lossy(&metrics.stdout).to_string();
    assert!(
        text.contains("first_piece_ms") && text.contains("desk"),
        "{text}"
    );
}

#[test]
fn logs_hold_neither_prompts_nor_keys() {
    let fleet = serving(&FleetPlan::default());
    let call = Chat {
        prompt: "secretprompt".into(),
        once: Some("secretonce".into()),
        ..Chat::default()
    };
    assert!(fleet.chat("e1", &call).is_answered());
    for id in fleet.agents.keys().chain(fleet.routers.keys()) {
        for word in ["secretprompt", "secretonce", DESK_KEY] {
            let lines = fleet.logged(id, word);
            assert!(lines.is_empty(), "{id}: {lines:?}");
        }
    }
}
