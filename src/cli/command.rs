use std::ffi::OsString;
use std::process::ExitCode;

use pico_args::Arguments;

use super::{bundle_command, check_command, explain_command, help, metrics_command};
use super::{serve_command, status_command};
use super::{CliError, Exit};

/// Runs the program with its arguments, without the program's name.
pub fn run(args: Vec<OsString>) -> ExitCode {
    match dispatch(Arguments::from_vec(args)) {
        Ok(()) => Exit::Done.into(),
        Err(error) => {
            eprintln!("{error}");
            error.exit().into()
        }
    }
}

fn dispatch(mut args: Arguments) -> Result<(), CliError> {
    let command = args
        .subcommand()
        .map_err(|e| CliError::usage(e.to_string(), ""))?;
    let Some(command) = command else {
        return main_options(args);
    };
    type Action = fn(Arguments) -> Result<(), CliError>;
    let (text, action): (&str, Action) = match command.as_str() {
        "router" => (help::ROUTER, serve_command::router),
        "agent" => (help::AGENT, serve_command::agent),
        "check" => (help::CHECK, check_command::check),
        "bundle" => (help::BUNDLE, bundle_command::bundle),
        "status" => (help::STATUS, status_command::status),
        "metrics" => (help::METRICS, metrics_command::metrics),
        "explain" => (help::EXPLAIN, explain_command::explain),
        other => {
            let message = format!(
                "found {other:?}, expected router, agent, check, bundle, status, metrics or explain"
            );
            return Err(CliError::usage(message, ""));
        }
    };
    if args.contains(["-h", "--help"]) {
        print!("{text}");
        return Ok(());
    }
    action(args)
}

fn main_options(mut args: Arguments) -> Result<(), CliError> {
    if args.contains(["-V", "--version"]) {
        println!("runrail {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    if args.contains(["-h", "--help"]) {
        print!("{}", help::MAIN);
        return Ok(());
    }
    Err(CliError::usage("no command was given", ""))
}

/// Returns an error if unread arguments remain.
pub(super) fn reject_rest(args: Arguments, command: &str) -> Result<(), CliError> {
    let rest = args.finish();
    if rest.is_empty() {
        return Ok(());
    }
    let rest: Vec<_> = rest.iter().map(|a| a.to_string_lossy()).collect();
    Err(CliError::usage(
        format!("unexpected: {}", rest.join(" ")),
        command,
    ))
}

/// Reads the value of a required option.
pub(super) fn required_value(
    args: &mut Arguments,
    name: &'static str,
    command: &str,
) -> Result<String, CliError> {
    args.value_from_str(name)
        .map_err(|_| CliError::usage(format!("{name} needs a value"), command))
}

/// Reads the value of an option that may be absent.
pub(super) fn optional_value(
    args: &mut Arguments,
    name: &'static str,
    command: &str,
) -> Result<Option<String>, CliError> {
    args.opt_value_from_str(name)
        .map_err(|_| CliError::usage(format!("{name} needs a value"), command))
}
