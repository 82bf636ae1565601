use std::sync::Arc;

use crate::types::Millis;

/// A model that an endpoint was ordered to load in advance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StagedLoad {
    /// The model.
    pub model: Arc<str>,
    /// When the order was given.
    pub since: Millis,
    /// Whether the endpoint itself is to hold it, and not only its host.
    pub hold: bool,
    /// Whether it is loaded from the weight store, and not from the host.
    pub cold: bool,
    /// When a load from the weight store is over unless it has failed.
    pub due: Millis,
}
