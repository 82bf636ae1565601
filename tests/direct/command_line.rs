//! Command line of a direct router: `check` of its settings, and `explain` of a log file.

use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    let command = Command::new(env!("CARGO_BIN_EXE_runrail"))
        .args(args)
        .output();
    command.expect("the binary runs")
}

#[test]
fn the_sample_settings_are_good() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/settings/direct.ini");
    let output = run(&["check", "--settings", file]);
    assert!(output.status.success(), "{output:?}");
}

#[test]
fn five_faults_are_reported_together() {
    let dir = tempfile::tempdir().expect("a folder");
    let file = dir.path().join("wrong.ini");
    let text = "[instance]\nid = a\n[listen]\ncallers = here\n[direct]\nstore = 1.2.3.4\nfirst_start = maybe\n\
                [planner]\nlease_ms = 5\n";
    std::fs::write(&file, text).expect("a file");
    let output = run(&["check", "--settings", &file.display().to_string()]);
    assert_eq!(output.status.code(), Some(2));
    let errors = String::from_utf8_lossy(&output.stderr).to_string();
    for place in ["hall", "callers", "store", "first_start", "lease_ms"] {
        assert!(errors.contains(place), "{place}: {errors}");
    }
}

#[test]
fn a_log_is_explained_by_id_from_a_file() {
    let dir = tempfile::tempdir().expect("a folder");
    let file = dir.path().join("log");
    let text = "INFO t runrail E640 request sent to an endpoint request=\"ab\" endpoint=\"e1\"\n\
                INFO t runrail E640 request sent to an endpoint request=\"abc\" endpoint=\"e1\"\n\
                INFO t runrail E630 group is being formed group=\"g\" members=\"e1,e2\"\n";
    std::fs::write(&file, text).expect("a file");
    let file = file.display().to_string();
    let lines = |subject: &str| {
        let output = run(&["explain", subject, "--log", &file]);
        String::from_utf8_lossy(&output.stdout).lines().count()
    };
    assert_eq!((lines("ab"), lines("e2"), lines("e1")), (1, 1, 3));
}

#[test]
fn a_mechanism_that_is_unknown_is_refused_with_the_names_of_all() {
    let sample = concat!(env!("CARGO_MANIFEST_DIR"), "/settings/direct.ini");
    let text = std::fs::read_to_string(sample).expect("the sample");
    let dir = tempfile::tempdir().expect("a folder");
    let file = dir.path().join("off.ini");
    for (off, code) in [("trades, limits", 0), ("trades, luck", 2)] {
        let text = text.replace("\noff =", &format!("\noff = {off}"));
        std::fs::write(&file, text).expect("a file");
        let output = run(&["check", "--settings", &file.display().to_string()]);
        assert_eq!(output.status.code(), Some(code), "{output:?}");
        let errors = String::from_utf8_lossy(&output.stderr).to_string();
        assert!(code == 0 || (errors.contains("luck") && errors.contains("freeing")));
    }
}

/// The tool that measures mechanisms and the sample settings list all mechanisms, so that a new
/// one is not forgotten there.
#[test]
fn the_tool_and_the_sample_name_every_mechanism() {
    let read = |file: &str| {
        let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join(file);
        std::fs::read_to_string(path).expect("a file")
    };
    for file in ["testkit/src/bin/ablate.rs", "settings/direct.ini"] {
        let text = read(file);
        for name in runrail::logic::direct::Mechanism::names() {
            assert!(text.contains(name), "{name} in {file}");
        }
    }
}
