use super::CliErrorKind;
use std::fmt;

use super::Exit;

/// Why a command couldn't do what was asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CliError {
    /// Kind.
    pub kind: CliErrorKind,
    /// What was found and what was expected.
    pub message: String,
    /// What to try.
    pub hint: Option<String>,
}

impl CliError {
    /// An error without a hint.
    pub fn new(kind: CliErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            hint: None,
        }
    }

    /// A usage error that points to the help of a command.
    pub fn usage(message: impl Into<String>, command: &str) -> Self {
        let hint = format!("`runrail {command} --help`").replace("  ", " ");
        Self::new(CliErrorKind::Usage, message).try_this(&hint)
    }

    /// Adds what to try.
    pub fn try_this(mut self, hint: &str) -> Self {
        self.hint = Some(hint.to_string());
        self
    }

    /// Exit code.
    pub fn exit(&self) -> Exit {
        match self.kind {
            CliErrorKind::Usage | CliErrorKind::File => Exit::Usage,
            CliErrorKind::Refused => Exit::Failed,
            CliErrorKind::Unknown => Exit::Unknown,
        }
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "error: {}", self.message)?;
        if let Some(hint) = &self.hint {
            write!(f, "\n\ntry: {hint}")?;
        }
        Ok(())
    }
}

impl std::error::Error for CliError {}
