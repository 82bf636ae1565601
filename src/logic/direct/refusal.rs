use std::fmt;

use super::Problem;

/// Why a request isn't admitted, and what that follows from.
#[derive(Clone, Debug)]
pub(super) struct Refusal {
    /// The answer that its caller gets.
    pub problem: Problem,
    /// Reason, for the log.
    pub why: &'static str,
    /// Named values that the refusal follows from, for the log. They hold no keys.
    pub facts: Vec<(&'static str, String)>,
}

impl Refusal {
    /// Creates a refusal without further values.
    pub fn new(problem: Problem, why: &'static str) -> Self {
        Self {
            problem,
            why,
            facts: Vec::new(),
        }
    }

    /// Adds a value.
    pub fn with(mut self, name: &'static str, value: impl fmt::Display) -> Self {
        self.facts.push((name, value.to_string()));
        self
    }
}
