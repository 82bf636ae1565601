use std::sync::Arc;

use super::ModelDemand;

/// Requests for one model in one time slot, or in the sum of several.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct ModelArrivals {
    /// All requests, including those sent again after a refusal.
    pub received: ModelDemand,
    /// Requests whose callers were asked to come back, in thousandths of a request.
    pub refused: u64,
}

impl ModelArrivals {
    /// No requests for a model.
    pub fn empty(model: &Arc<str>) -> Self {
        Self {
            received: ModelDemand::none(model),
            refused: 0,
        }
    }

    /// Adds the requests of another slot.
    pub fn add(&mut self, other: &Self) {
        self.received.add(&other.received);
        self.refused += other.refused;
    }

    /// Estimated requests that were sent for the first time.
    ///
    /// A request that is sent again looks like any other, but each refused caller is assumed
    /// to come back once. If a part `q` of all requests is refused, `n` requests are
    /// `n / (1 + q)` first tries; the rest was sent again.
    pub fn first_tries(&self) -> ModelDemand {
        let received = self.received.requests;
        self.received.scaled(received, received + self.refused)
    }
}
