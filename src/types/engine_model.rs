use std::sync::Arc;

use super::Millis;

/// One model that the engines of a service can load.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EngineModel {
    /// Name of the model.
    pub name: Arc<str>,
    /// Number of instances in a group that serves the model.
    pub size: usize,
    /// Factor on the engine's prompt and step times, in thousandths; higher is slower.
    pub pace: u64,
    /// Published initial share of the service's work, in thousandths. Until demand is known,
    /// the planner takes it as the model's share of all instances.
    pub share: u64,
    /// Time to load the model from the weight store, in milliseconds.
    pub load_ms: Millis,
    /// Time to load the model when its weights are staged on the host, in milliseconds.
    pub warm_ms: Millis,
}
