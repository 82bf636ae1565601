use std::sync::Arc;

use super::forecast;
use crate::logic::direct::{DirectState, InFlightRequest};

/// A capacity pool: the heads of one model, or the endpoints of one plain service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolKey {
    /// The service.
    pub service: Arc<str>,
    /// The model that its requests ask for; none for a plain service, whose endpoints serve all requests.
    pub model: Option<Arc<str>>,
}

impl PoolKey {
    /// Pool that a request waits for.
    pub(super) fn of(state: &DirectState, flight: &InFlightRequest) -> Self {
        let has_groups = forecast::engine(state, &flight.service).is_some();
        Self {
            service: flight.service.clone(),
            model: flight.model.clone().filter(|_| has_groups),
        }
    }
}
