use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// What callers ask of one model.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ModelDemand {
    /// The model.
    pub model: Arc<str>,
    /// Time that it takes one group, in microseconds; where it is a rate, a million
    /// keeps one group busy.
    pub work: u64,
    /// What it counts: tokens of prompts, and those of answers ten times.
    pub value: u64,
}

impl ModelDemand {
    /// No demand.
    pub fn none(model: &Arc<str>) -> Self {
        Self {
            model: model.clone(),
            work: 0,
            value: 0,
        }
    }
}
