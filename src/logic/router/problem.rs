use super::Outcome;

use crate::types::Millis;

/// Final part of the answer to a request that wasn't answered completely.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Problem {
    /// HTTP status.
    pub status: u16,
    /// What is known about whether it ran.
    pub outcome: Outcome,
    /// What happened and what to try.
    pub detail: String,
    /// Hint for the caller when to try again, in milliseconds.
    pub retry_ms: Option<Millis>,
}

impl Problem {
    /// The request was refused and didn't run.
    pub fn not_run(status: u16, detail: impl Into<String>) -> Self {
        Self {
            status,
            outcome: Outcome::NotRun,
            detail: detail.into(),
            retry_ms: None,
        }
    }

    /// The request may have run.
    pub fn unknown(status: u16, detail: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..Self::not_run(status, detail)
        }
    }

    /// The request ran and its endpoint reported an error.
    pub fn failed(status: u16, detail: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Failed,
            ..Self::not_run(status, detail)
        }
    }

    /// Adds a hint when to try again.
    pub fn with_retry(mut self, ms: Millis) -> Self {
        self.retry_ms = Some(ms);
        self
    }
}
