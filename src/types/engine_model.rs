use std::sync::Arc;

use super::Millis;

/// One model of a service's engines.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EngineModel {
    /// Name.
    pub name: Arc<str>,
    /// Instances of one group.
    pub size: usize,
    /// Factor on all times, in thousandths.
    pub pace: u64,
    /// Part of the work at the start, in thousandths.
    pub share: u64,
    /// Time to load from the weight store.
    pub load_ms: Millis,
    /// Time to load from the host.
    pub warm_ms: Millis,
}
