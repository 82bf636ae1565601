//! Help, errors and exit codes of the command line.

use crate::{run, stderr, stdout};

#[test]
fn help_names_every_command_and_exit_code() {
    insta::assert_snapshot!(stdout(&run(&["--help"])));
}

#[test]
fn each_command_has_help_with_an_example() {
    for command in [
        "router", "agent", "check", "bundle", "status", "metrics", "explain",
    ] {
        let output = run(&[command, "--help"]);
        assert_eq!(output.status.code(), Some(0), "{command}");
        let text = stdout(&output);
        assert!(
            text.contains(&format!("Usage: runrail {command}")),
            "{text}"
        );
        assert!(text.contains("Example: "), "{text}");
    }
}

#[test]
fn wrong_command_lines_say_what_was_found_and_what_to_try() {
    let cases: [&[&str]; 7] = [
        &[],
        &["serve"],
        &["router"],
        &["router", "--settings"],
        &["check"],
        &["bundle", "undo"],
        &["status"],
    ];
    let mut text = String::new();
    for case in cases {
        let output = run(case);
        assert_eq!(
            output.status.code(),
            Some(2),
            "{case:?}: {}",
            stderr(&output)
        );
        text += &format!("$ runrail {}\n{}\n", case.join(" "), stderr(&output));
    }
    insta::assert_snapshot!(text);
}

#[test]
fn a_router_that_cant_be_reached_is_an_error_with_a_hint() {
    let dir = tempfile::tempdir().expect("a folder");
    let token = dir.path().join("anna.token");
    std::fs::write(&token, "anna\n").expect("a file");
    let token = token.display().to_string();
    let output = run(&["status", "--router", "127.0.0.1:1", "--token-file", &token]);
    assert_eq!(output.status.code(), Some(1), "{}", stderr(&output));
    assert!(stderr(&output).contains("another router's address"));
}

#[test]
fn a_file_that_holds_no_token_is_named() {
    let output = run(&[
        "status",
        "--router",
        "127.0.0.1:1",
        "--token-file",
        "Cargo.toml",
    ]);
    assert_eq!(output.status.code(), Some(2), "{}", stderr(&output));
    assert!(stderr(&output).contains("Cargo.toml: found no token"));
}
