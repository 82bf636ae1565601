//! Answers of endpoints whose status isn't one: no caller gets them as an answer.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use testkit::direct::{call, start_routers_with, until, CutEnd, Cutter, Standin};

/// Statuses that no final answer has.
const STATUSES: [&str; 9] = [
    "000", "099", "199", "600", "999", "1000", "20", "2x0", "-01",
];

/// Settings with which endpoints that have failed are tried again at once.
const SETTINGS: &str = "[routing]\nshun_ms = 0\n";

/// The answer of an endpoint to request `odd-N`: each status, alone and after an interim answer. `None` for
/// other requests.
fn answer(request: &str, is_stream: bool) -> Option<(usize, String)> {
    let attempt = request.lines().find_map(|l| {
        let (name, value) = l.split_once(':')?;
        let is_attempt = name.eq_ignore_ascii_case("x-attempt-id");
        is_attempt.then_some(value.trim())
    })?;
    let n: usize = attempt.strip_prefix("odd-")?.parse().ok()?;
    let interim = match n < STATUSES.len() {
        true => "",
        false => "HTTP/1.1 103 Early Hints\r\n\r\n",
    };
    let status = STATUSES[n % STATUSES.len()];
    let (kind, body) = match is_stream {
        true => ("text/event-stream", "id: 1\ndata: odd\n\n"),
        false => ("text/plain", "odd"),
    };
    let length = body.len();
    let answer = format!(
        "{interim}HTTP/1.1 {status} Odd\r\nX-Attempt-Id: {attempt}\r\nX-Response-Stamp: 1.2.3\r\n\
         Content-Type: {kind}\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    Some((n, answer))
}

/// Sends requests to a fleet all of whose endpoints answer with such statuses; none may be passed on.
fn check(path: &'static str, is_stream: bool) {
    let dir = tempfile::tempdir().expect("a folder");
    let standin = Standin::start(3, 1);
    let sent = Arc::new(Mutex::new(BTreeSet::new()));
    for id in standin.alive() {
        let target = standin.world().addr(&id).expect("an endpoint");
        let sent = sent.clone();
        let cutter = Cutter::start(target, move |request| {
            let (n, answer) = answer(request, is_stream)?;
            sent.lock().expect("numbers").insert(n);
            Some((answer.into_bytes(), CutEnd::Open))
        });
        standin.world().list_at(&id, cutter.addr());
    }
    let routers = start_routers_with(&standin, &[standin.store], dir.path(), SETTINGS);
    for n in 0..2 * STATUSES.len() {
        let attempt = format!("odd-{n}");
        until("the answer is sent", Duration::from_secs(20), || {
            let got = call(routers[0].callers, "POST", path, &attempt).expect("an answer");
            let is_own = matches!(got.status, 502..=504);
            let is_signed = got.header("x-response-stamp").is_some();
            assert!(
                is_own && !is_signed,
                "{path} {n}: {} {}",
                got.head,
                got.body
            );
            assert!(!got.body.contains("odd"), "{path} {n}: {}", got.body);
            sent.lock().expect("numbers").contains(&n)
        });
    }
}

/// Guards against a status that no HTTP answer has, which was passed on as the answer.
#[test]
fn answers_to_plain_services_with_a_status_that_is_none_are_not_passed_on() {
    check("/safe/x", false);
    check("/once/x", false);
}

#[test]
fn streams_with_a_status_that_is_none_are_not_passed_on() {
    check("/stream/x", true);
}

#[test]
fn whole_answers_of_engines_with_a_status_that_is_none_are_not_passed_on() {
    check("/stream/x", false);
}
