use std::process::ExitCode;

/// Exit codes of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// Refused or failed; nothing was changed.
    Failed = 1,
    /// The command line or a file is wrong.
    Usage = 2,
    /// The result is unknown; check the state before retrying.
    Unknown = 3,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit as u8)
    }
}
