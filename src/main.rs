//! The `runrail` program; the library contains all of its code.

use std::process::ExitCode;

fn main() -> ExitCode {
    runrail::cli::run(std::env::args_os().skip(1).collect())
}
