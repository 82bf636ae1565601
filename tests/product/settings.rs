//! Checks of settings files, which report every fault; the samples have none.

use std::path::Path;

use crate::{run, stderr};

fn key_folder() -> tempfile::TempDir {
    let dir = tempfile::tempdir().expect("a folder");
    std::fs::write(dir.path().join("fleet.key"), "k".repeat(40)).expect("a file");
    dir
}

/// Text of a sample that refers to the key file in `dir`.
fn sample(name: &str, dir: &Path) -> String {
    let text = std::fs::read_to_string(format!("settings/{name}")).expect("a sample");
    let key = dir.join("fleet.key");
    text.replace(
        "key_file = fleet.key",
        &format!("key_file = {}", key.display()),
    )
}

#[test]
fn the_sample_settings_have_no_faults() {
    let dir = key_folder();
    for name in ["router.ini", "agent.ini"] {
        let file = dir.path().join(name);
        std::fs::write(&file, sample(name, dir.path())).expect("a file");
        let output = run(&["check", "--settings", &file.display().to_string()]);
        assert!(output.status.success(), "{}", stderr(&output));
    }
}

#[test]
fn a_file_with_five_faults_names_all_five() {
    let dir = key_folder();
    let text = sample("agent.ini", dir.path())
        .replace("lease_ms = 3000", "lease_ms = soon")
        .replace("slots = 8", "slots = 0")
        .replace("kind = engine", "kind = motor")
        .replace("addr = 127.0.0.1:8100", "addr = localhost")
        .replace("leave_ms = 3000", "leav_ms = 3000");
    let file = dir.path().join("agent.ini");
    std::fs::write(&file, text).expect("a file");
    let output = run(&["check", "--settings", &file.display().to_string()]);
    assert_eq!(output.status.code(), Some(2));
    let text = stderr(&output).replace(&dir.path().display().to_string(), "DIR");
    insta::assert_snapshot!(text);
}

#[test]
fn unreadable_settings_files_are_named() {
    let dir = key_folder();
    let file = dir.path().join("broken.ini");
    std::fs::write(&file, "[instance\nid = x\n").expect("a file");
    for file in [file.display().to_string(), "missing.ini".into()] {
        let output = run(&["router", "--settings", &file]);
        assert_eq!(output.status.code(), Some(2));
        assert!(stderr(&output).contains(&file), "{}", stderr(&output));
    }
}

#[test]
fn a_short_fleet_key_is_refused_without_being_shown() {
    let dir = key_folder();
    std::fs::write(dir.path().join("fleet.key"), "secret").expect("a file");
    let file = dir.path().join("router.ini");
    std::fs::write(&file, sample("router.ini", dir.path())).expect("a file");
    let output = run(&["check", "--settings", &file.display().to_string()]);
    assert!(stderr(&output).contains("with 6 bytes, expected a file with at least 32 bytes"));
    assert!(!stderr(&output).contains("secret"));
}
