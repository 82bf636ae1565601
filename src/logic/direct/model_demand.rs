use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Demand for one model, as sums over its requests in some period or per second.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ModelDemand {
    /// The model.
    pub model: Arc<str>,
    /// Requests, in thousandths.
    pub requests: u64,
    /// Tokens of prompts.
    pub prompt: u64,
    /// Sum of the squares of prompts' tokens.
    pub square: u64,
    /// Expected tokens of answers.
    pub answer: u64,
    /// Sum of the longest pauses between events that the routes allow, in milliseconds.
    pub pause: u64,
    /// Sum of the times within which the answers should begin, in milliseconds.
    pub first: u64,
    /// Weight of the requests: tokens of prompts, and ten times those of answers.
    pub value: u64,
}

impl ModelDemand {
    /// No demand.
    pub fn none(model: &Arc<str>) -> Self {
        Self {
            model: model.clone(),
            requests: 0,
            prompt: 0,
            square: 0,
            answer: 0,
            pause: 0,
            first: 0,
            value: 0,
        }
    }

    /// Adds other demand for the same model.
    pub fn add(&mut self, other: &Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.prompt = self.prompt.saturating_add(other.prompt);
        self.square = self.square.saturating_add(other.square);
        self.answer = self.answer.saturating_add(other.answer);
        self.pause = self.pause.saturating_add(other.pause);
        self.first = self.first.saturating_add(other.first);
        self.value = self.value.saturating_add(other.value);
    }

    /// The demand times `times / of`.
    pub fn scaled(&self, times: u64, of: u64) -> Self {
        let part = |n: u64| n.saturating_mul(times) / of.max(1);
        Self {
            model: self.model.clone(),
            requests: part(self.requests),
            prompt: part(self.prompt),
            square: part(self.square),
            answer: part(self.answer),
            pause: part(self.pause),
            first: part(self.first),
            value: part(self.value),
        }
    }
}
