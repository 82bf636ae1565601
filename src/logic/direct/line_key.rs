use std::sync::Arc;

use super::Flight;

/// What requests that wait in one line have in common.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LineKey {
    /// Service that they go to.
    pub service: Arc<str>,
    /// Model that they ask for.
    pub model: Option<Arc<str>>,
    /// Their route: requests of one are about as long.
    pub route: Arc<str>,
}

impl LineKey {
    /// The line of a request.
    pub(super) fn of(flight: &Flight) -> Self {
        Self {
            service: flight.service.clone(),
            model: flight.model.clone(),
            route: flight.route.name.clone(),
        }
    }
}
