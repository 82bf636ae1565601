//! Tests of what users see: command line, settings, events, bundles, tables.

mod bundles;
mod command_line;
mod events;
mod settings;
mod tables;

use std::process::{Command, Output};

/// Runs the binary without the environment variables of the operators' commands.
fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_runrail"))
        .args(args)
        .env_remove("RUNRAIL_ROUTER")
        .env_remove("RUNRAIL_TOKEN_FILE")
        .output()
        .expect("the binary starts")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).to_string()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).to_string()
}
