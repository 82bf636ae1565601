use std::sync::Arc;

use crate::logic::direct::InFlightRequest;

/// What the requests of one wait queue have in common.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueKey {
    /// Service that they go to.
    pub service: Arc<str>,
    /// Model that they ask for.
    pub model: Option<Arc<str>>,
    /// Their route; requests of one route are of similar length.
    pub route: Arc<str>,
}

impl QueueKey {
    /// Key of the queue that a request waits in.
    pub(in crate::logic::direct) fn of(flight: &InFlightRequest) -> Self {
        Self {
            service: flight.service.clone(),
            model: flight.model.clone(),
            route: flight.route.name.clone(),
        }
    }
}
