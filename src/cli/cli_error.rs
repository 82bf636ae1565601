use super::CliErrorKind;
use std::fmt;

use super::Exit;

/// Error that ends a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CliError {
    /// Kind.
    pub kind: CliErrorKind,
    /// What was found and what was expected.
    pub message: String,
    /// What the user can try.
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

    /// A usage error whose hint is the help of a command; "" means that of the program.
    pub fn usage(message: impl Into<String>, command: &str) -> Self {
        let hint = format!("`runrail {command} --help`").replace("  ", " ");
        Self::new(CliErrorKind::Usage, message).with_hint(&hint)
    }

    /// Adds a hint.
    pub fn with_hint(mut self, hint: &str) -> Self {
        self.hint = Some(hint.to_string());
        self
    }

    /// Exit code of the process.
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
