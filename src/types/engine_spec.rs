use super::{EngineModel, Millis};

/// How the engines of a service work, as their operators publish it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct EngineSpec {
    /// Requests that run at once in one group.
    pub slots: u32,
    /// Token steps of one pass.
    pub stride: u32,
    /// One token step, in microseconds.
    pub step_us: u64,
    /// What each writing request adds to a step, in nanoseconds.
    pub per_request_ns: u64,
    /// Prompt tokens read in a second.
    pub read_rate: u64,
    /// Usual prompt, in tokens.
    pub usual_prompt: u32,
    /// Usual answer, in tokens.
    pub usual_answer: u32,
    /// Loads from the weight store that may begin in 1,000 seconds.
    pub load_rate: u64,
    /// Loads at once at full speed.
    pub loads_at_once: u32,
    /// Models that a host keeps.
    pub keeps: u32,
    /// Time from the order to open until a group serves.
    pub form_ms: Millis,
    /// Models that groups serve.
    pub models: Vec<EngineModel>,
}

impl EngineSpec {
    /// Finds a model by name.
    pub fn model(&self, name: &str) -> Option<&EngineModel> {
        self.models.iter().find(|m| &*m.name == name)
    }
}
