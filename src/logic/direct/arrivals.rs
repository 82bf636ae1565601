use std::sync::Arc;

use super::ModelDemand;

/// What one model was asked for within some time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Arrivals {
    /// Requests that came, returned ones included.
    pub came: ModelDemand,
    /// Requests that were told to come back, in thousandths.
    pub refused: u64,
}

impl Arrivals {
    /// Nothing.
    pub fn none(model: &Arc<str>) -> Self {
        Self {
            came: ModelDemand::none(model),
            refused: 0,
        }
    }

    /// Adds what came and was refused in another time.
    pub fn add(&mut self, other: &Self) {
        self.came.add(&other.came);
        self.refused += other.refused;
    }

    /// What came for the first time.
    ///
    /// A request that comes back looks like any other, but whoever is refused comes back
    /// once. Where a part `q` of all is refused, `n` requests are `n / (1 + q)` first tries
    /// and the returned rest.
    pub fn first_tries(&self) -> ModelDemand {
        let came = self.came.requests;
        self.came.scaled(came, came + self.refused)
    }
}
