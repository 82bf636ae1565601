use std::sync::Arc;

use super::pool;
use crate::logic::direct::{DirectState, InFlightRequest};

/// What the requests of one wait queue have in common.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueKey {
    /// Service that they go to.
    pub service: Arc<str>,
    /// Model that they ask for.
    pub model: Option<Arc<str>>,
    /// Their route; requests of one route are of similar length. None where the requests of all
    /// routes wait in one queue.
    pub route: Option<Arc<str>>,
}

impl QueueKey {
    /// Key of the queue that a request waits in.
    pub(in crate::logic::direct) fn of(state: &DirectState, flight: &InFlightRequest) -> Self {
        let is_pooled = pool::is_active(state, &flight.service);
        let route = (!is_pooled).then(|| flight.route.name.clone());
        Self {
            service: flight.service.clone(),
            model: flight.model.clone(),
            route,
        }
    }
}
