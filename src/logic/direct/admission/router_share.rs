use std::sync::Arc;

use crate::logic::direct::DirectState;

/// The whole, in parts per million.
pub(in crate::logic::direct) const WHOLE_PPM: u64 = 1_000_000;

/// This router's share of what all routers may use together, in parts per million.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::logic::direct) struct RouterShare {
    ppm: u64,
}

impl RouterShare {
    /// The share of a model's capacity: an even one, or that of the model's demand if much more of it
    /// comes to this router.
    pub fn of_model(state: &DirectState, model: Option<&Arc<str>>) -> Self {
        let by_demand = model.and_then(|model| state.demand.shares.ppm(model));
        let even = WHOLE_PPM / (state.peers.len() as u64 + 1);
        Self {
            ppm: by_demand.unwrap_or(even),
        }
    }

    /// This part of an amount.
    pub fn of(self, amount: u64) -> u64 {
        amount * self.ppm / WHOLE_PPM
    }
}
