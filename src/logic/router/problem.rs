use super::Outcome;

use crate::types::Millis;

/// Final answer to a request that the system couldn't answer in full.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Problem {
    /// HTTP status.
    pub status: u16,
    /// What is known.
    pub outcome: Outcome,
    /// What happened and what to try.
    pub detail: String,
    /// When to come back, in milliseconds.
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

    /// Says when to come back.
    pub fn retry_in(mut self, ms: Millis) -> Self {
        self.retry_ms = Some(ms);
        self
    }
}
