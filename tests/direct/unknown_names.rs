//! Names that endpoints use and this version doesn't know.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use runrail::logic::router::StoreEntry;
use runrail::platform::adapter;
use testkit::direct::{call, fleet, until};

fn headers(names: &[&'static str]) -> HeaderMap {
    let value = HeaderValue::from_static("1");
    let headers = names
        .iter()
        .map(|n| (HeaderName::from_static(n), value.clone()));
    headers.collect()
}

#[test]
fn headers_that_no_version_knows_are_listed() {
    let known = headers(&["content-type", "x-attempt-id", "server-limit", "x-cold-ms"]);
    assert_eq!((adapter().unknown_headers)(&known), Vec::<String>::new());
    let some = headers(&["date", "server-mood", "x-not-run"]);
    assert_eq!((adapter().unknown_headers)(&some), ["server-mood"]);
}

#[test]
fn fields_that_no_version_knows_are_listed() {
    let entry = StoreEntry {
        key: "servers/i-1".to_string(),
        value:
            r#"{"Service":"m","Address":"10.0.0.9:80","Zone":"h","Slots":4,"State":"ready","Seq":4,
          "Version":"v1","ColdLeftMs":0,"Mood":"good"}"#
                .to_string(),
        revision: 3,
    };
    let parsed = (adapter().parse_entry)(&entry).expect("a valid entry");
    assert_eq!(parsed.unknown, ["Mood"]);
    let report = br#"{"pace":1.0,"KvUsed":1,"kv_total":2,"Mood":"good"}"#;
    let parsed = (adapter().parse_report)(StatusCode::OK, report).expect("a valid report");
    assert_eq!(parsed.unknown, ["Mood"]);
}

/// Guards against a header that endpoints send and the adapter ignores without a trace.
#[test]
fn a_header_that_the_router_does_not_know_is_logged_once_and_counted() {
    let dir = tempfile::tempdir().expect("a folder");
    let (standin, routers) = fleet(3, dir.path());
    standin.world().add_header("p0", "server-mood", "good");
    let ask = |n: usize| {
        let attempt = format!("mood-{n}");
        call(routers[0].callers, "GET", "/safe/x", &attempt).is_some_and(|a| a.status == 200)
    };
    assert!((0..20).all(ask));
    until("it is counted", Duration::from_secs(5), || {
        let metrics = routers[0].metrics();
        let value = |name: &str| {
            let mut lines = metrics.lines();
            let found = lines.find_map(|l| l.strip_prefix(name));
            found.and_then(|v| v.trim().parse::<u64>().ok())
        };
        let names = value("runrail_unknown_names ");
        names == Some(1) && value("runrail_unknown_seen ").is_some_and(|n| n > 1)
    });
    let log = std::fs::read_to_string(dir.path().join("r1.log")).expect("a log");
    let lines = log.lines().filter(|l| l.contains("E609"));
    let lines: Vec<_> = lines.collect();
    assert_eq!(lines.len(), 1, "{log}");
    assert!(lines[0].contains("server-mood"), "{}", lines[0]);
}
