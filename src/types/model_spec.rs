use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{GroupRole, Millis, ModelKind};

/// Fewest instances of an engine group.
pub const MIN_INSTANCES: u32 = 4;
/// Most instances of an engine group.
pub const MAX_INSTANCES: u32 = 32;

/// One model or plain service: which groups are wanted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// Name that callers give.
    pub name: Arc<str>,
    /// Version of the weights.
    pub version: Arc<str>,
    /// Engine or plain service.
    #[serde(default)]
    pub kind: ModelKind,
    /// Role of its groups.
    #[serde(default)]
    pub role: GroupRole,
    /// Adapters loaded beside the model.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Instances of one group.
    pub instances: u32,
    /// Groups wanted in each data hall.
    pub per_hall: u32,
    /// Groups of a hall that stay open while a new version is rolled.
    #[serde(default)]
    pub floor: u32,
    /// Worth of one open group; a less worthy group may be given up for it.
    #[serde(default = "default_value")]
    pub value: u32,
    /// Expected time to load the weights, in milliseconds.
    #[serde(default = "default_load")]
    pub load_ms: Millis,
}

fn default_value() -> u32 {
    1
}

fn default_load() -> Millis {
    60_000
}
