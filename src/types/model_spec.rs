use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{GroupRole, Millis, ModelKind};

/// Minimum number of instances in an engine group.
pub const MIN_INSTANCES: u32 = 4;
/// Maximum number of instances in an engine group.
pub const MAX_INSTANCES: u32 = 32;

/// One model or plain service, and the groups that are wanted for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// Name that callers request.
    pub name: Arc<str>,
    /// Version of the weights.
    pub version: Arc<str>,
    /// Engine or plain service.
    #[serde(default)]
    pub kind: ModelKind,
    /// Role of its groups.
    #[serde(default)]
    pub role: GroupRole,
    /// Adapters that are loaded with the model.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Number of instances in a group.
    pub instances: u32,
    /// Number of groups wanted in each data hall.
    pub per_hall: u32,
    /// Minimum number of groups per data hall that stay open while a new version is
    /// rolled out.
    #[serde(default)]
    pub floor: u32,
    /// Value of an open group. Where a group can't be repaired from spares, another one may be
    /// dissolved for it if that lowers the cost by the weights of
    /// [`Measure`](super::Measure).
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
