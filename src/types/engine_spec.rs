use super::{EngineModel, Millis};

/// Performance parameters of a service's engines, as their operators publish them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct EngineSpec {
    /// Number of requests that a group runs concurrently.
    pub slots: u32,
    /// Number of token steps in one pass of the engine.
    pub stride: u32,
    /// Duration of a token step, in microseconds.
    pub step_us: u64,
    /// Time that each request adds to a step while its tokens are generated, in nanoseconds.
    pub per_request_ns: u64,
    /// Prompt processing rate, in tokens per second.
    pub read_rate: u64,
    /// Mean prompt length, in tokens.
    pub usual_prompt: u32,
    /// Mean answer length, in tokens.
    pub usual_answer: u32,
    /// Maximum rate of loads from the weight store, in loads per 1,000 seconds.
    pub load_rate: u64,
    /// Number of loads from the weight store that can run concurrently at full speed.
    pub loads_at_once: u32,
    /// Number of models that a host keeps staged besides the one that is loaded.
    pub keeps: u32,
    /// Time from the order to open a group until it serves, in milliseconds.
    pub form_ms: Millis,
    /// Models that groups can serve.
    pub models: Vec<EngineModel>,
}

impl EngineSpec {
    /// Finds a model by name.
    pub fn model(&self, name: &str) -> Option<&EngineModel> {
        self.models.iter().find(|m| &*m.name == name)
    }

    /// Whether concurrent requests slow each other down so much that a token step of a full group
    /// takes more than twice that of an idle one. Latency then bounds the useful number of
    /// concurrent requests, not the slots.
    pub fn is_contended(&self) -> bool {
        u64::from(self.slots) * self.per_request_ns > self.step_us * 1_000
    }
}
