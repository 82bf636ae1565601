//! The `runrail` program; all it does is in the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    runrail::cli::run(std::env::args_os().skip(1).collect())
}
