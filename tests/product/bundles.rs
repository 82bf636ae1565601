//! Checks of bundles, which report every fault.

use runrail::types::{BundleBody, BundleFault};

use crate::{run, stderr};

#[test]
fn every_fault_of_a_bundle_is_named_with_its_place() {
    let body: BundleBody = serde_json::from_value(serde_json::json!({
        "title": "wrong",
        "models": [
            { "name": "a b", "version": "", "instances": 33, "per_hall": 1, "floor": 2 },
            { "name": "svc", "version": "1", "kind": "service", "instances": 2, "per_hall": 1 },
            { "name": "svc", "version": "1", "kind": "service", "instances": 1, "per_hall": 1 },
        ],
        "classes": [{ "name": "letter", "priority": 1, "repeat": false, "preempt": true, "deadline_ms": 0 }],
        "accounts": [{ "name": "x", "key_sha256": "12", "classes": ["none"], "share": 0 }],
    }))
    .expect("readable");
    let faults: Vec<_> = BundleFault::find_all(&body)
        .iter()
        .map(|f| f.to_string())
        .collect();
    insta::assert_snapshot!(faults.join("\n"));
}

#[test]
fn an_unknown_key_of_a_bundle_is_named_with_its_line() {
    let dir = tempfile::tempdir().expect("a folder");
    let file = dir.path().join("bundle.json");
    std::fs::write(&file, "{\n \"title\": \"x\",\n \"modles\": []\n}").expect("a file");
    let output = run(&["check", "--bundle", &file.display().to_string()]);
    assert_eq!(output.status.code(), Some(2));
    let text = stderr(&output);
    assert!(
        text.contains("unknown field `modles`") && text.contains("line 3"),
        "{text}"
    );
}
