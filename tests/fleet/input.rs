//! Invalid input is refused with an error that names the faulty part, and no process ends.

use std::io::Write;
use std::net::TcpStream;

use testkit::{post, Call, Chat, FleetPlan, BRANCH_KEY, DESK_KEY};

use crate::{answered, serving};

fn call(path: &str, body: &str, headers: &[(&str, &str)]) -> Call {
    Call {
        path: path.into(),
        body: body.into(),
        headers: headers
            .iter()
            .map(|(n, v)| (n.to_string(), v.to_string()))
            .collect(),
    }
}

#[test]
fn callers_are_told_what_is_wrong_and_that_nothing_ran() {
    let fleet = serving(&FleetPlan::default());
    let address = fleet.callers("e1");
    let key = format!("Bearer {DESK_KEY}");
    let auth = ("Authorization", key.as_str());
    let branch = format!("Bearer {BRANCH_KEY}");
    let good = r#"{"model":"desk","messages":[]}"#;
    let long = format!(
        r#"{{"model":"desk","messages":[],"pad":"{}"}}"#,
        "x".repeat(1_100_000)
    );
    let chat = "/v1/chat/completions";
    let table = [
        ("no key", call(chat, good, &[]), 401, "Authorization"),
        (
            "unknown key",
            call(chat, good, &[("Authorization", "Bearer nobody")]),
            401,
            "no client account",
        ),
        ("not JSON", call(chat, "{", &[auth]), 400, "isn't JSON"),
        (
            "no model",
            call(chat, r#"{"messages":[]}"#, &[auth]),
            400,
            "`model`",
        ),
        (
            "no messages",
            call(chat, r#"{"model":"desk"}"#, &[auth]),
            400,
            "`messages`",
        ),
        (
            "unknown model",
            call(chat, r#"{"model":"x","messages":[]}"#, &[auth]),
            404,
            "expected one of: desk",
        ),
        ("too long", call(chat, &long, &[auth]), 413, "limit"),
        (
            "unknown path",
            call("/v2/other", good, &[auth]),
            404,
            "/v2/other",
        ),
        (
            "foreign class",
            call(
                chat,
                good,
                &[("Authorization", &branch), ("Runrail-Class", "urgent")],
            ),
            403,
            "drafting",
        ),
        (
            "bad deadline",
            call(chat, good, &[auth, ("Runrail-Deadline-Ms", "soon")]),
            400,
            "Runrail-Deadline-Ms",
        ),
        (
            "letter without key",
            call(chat, good, &[auth, ("Runrail-Class", "letter")]),
            400,
            "Idempotency-Key",
        ),
    ];
    for (name, call, status, text) in table {
        let answer = post(address, &call);
        assert_eq!(answer.status, status, "{name}: {answer:?}");
        assert!(answer.text.contains(text), "{name}: {}", answer.text);
        assert_eq!(answer.outcome.as_deref(), Some("not_run"), "{name}");
    }
    assert!(fleet.fabric.runs().is_empty());
    answered(&fleet, "e1", &Chat::default());
}

#[test]
fn unauthenticated_peers_and_malformed_frames_are_refused() {
    let fleet = serving(&FleetPlan::default());
    let leader = fleet.members("e1")[0].clone();
    for address in [fleet.agents[&leader].peers, fleet.routers["e1"].peers] {
        let upgrade = format!(
            "GET / HTTP/1.1\r\nHost: {address}\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\
             Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
        );
        let masked_frame: &[u8] = &[0x82, 0x84, 0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff];
        let huge_frame: &[u8] = &[
            0x82, 0xff, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0,
        ];
        for bytes in [b"nonsense\r\n\r\n".as_slice(), masked_frame, huge_frame] {
            let mut stream = TcpStream::connect(address).expect("a connection");
            if bytes[0] == 0x82 {
                stream.write_all(upgrade.as_bytes()).expect("written");
            }
            // The other side may have closed already.
            let _ = stream.write_all(bytes);
        }
    }
    let refused = |id: &str| !fleet.logged(id, "session refused").is_empty();
    assert!(testkit::until(testkit::LONG, || refused(&leader) && refused("e1")));
    answered(&fleet, "e1", &Chat::default());
}

#[test]
fn an_account_beyond_its_limit_is_refused_with_a_hint() {
    let engine = testkit::EngineParams {
        piece: std::time::Duration::from_millis(100),
        ..testkit::EngineParams::default()
    };
    let fleet = serving(&FleetPlan {
        engine,
        ..FleetPlan::default()
    });
    let call = Chat {
        key: BRANCH_KEY.into(),
        class: "drafting".into(),
        pieces: 20,
        ..Chat::default()
    };
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| fleet.chat("e1", &call));
        }
        assert!(testkit::until(testkit::LONG, || fleet.status("e1")
            ["requests"]
            == 4));
        let answer = fleet.chat("e1", &call);
        assert_eq!(
            (answer.status, answer.outcome.as_deref()),
            (429, Some("not_run"))
        );
        assert!(answer.retry_after.is_some());
    });
}

#[test]
fn a_wrong_bundle_is_refused_with_every_fault() {
    let fleet = serving(&FleetPlan::default());
    let mut bundle = testkit::test_bundle(1);
    bundle["models"][0]["instances"] = 3.into();
    bundle["accounts"][0]["classes"][0] = "nothing".into();
    let file = fleet.file("wrong.json");
    std::fs::write(&file, bundle.to_string()).expect("a file");
    let output = fleet.operate(
        "anna",
        "e1",
        &["bundle", "submit", &file.display().to_string()],
    );
    let text = String::from_utf8_lossy(&output.stderr).to_string();
    assert_eq!(output.status.code(), Some(1));
    assert!(
        text.contains("models[0].instances: found 3, expected 4 to 32"),
        "{text}"
    );
    assert!(text.contains("accounts[0].classes[0]"), "{text}");
}
