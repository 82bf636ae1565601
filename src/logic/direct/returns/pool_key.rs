use std::sync::Arc;

use crate::logic::direct::InFlightRequest;

/// A capacity pool: the heads of one model, or the endpoints of one plain service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolKey {
    /// The service.
    pub service: Arc<str>,
    /// The model that its requests ask for.
    pub model: Option<Arc<str>>,
}

impl PoolKey {
    /// Pool that a request waits for.
    pub(super) fn of(flight: &InFlightRequest) -> Self {
        Self {
            service: flight.service.clone(),
            model: flight.model.clone(),
        }
    }
}
