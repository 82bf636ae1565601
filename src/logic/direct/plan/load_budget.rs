use crate::types::Millis;

/// One load, in thousandths.
const ONE_LOAD_MILLI: u64 = 1_000;

/// A token bucket for loads from the weight store.
///
/// It refills evenly at the published rate and holds little, so that the loads of two
/// successive planners stay within the tenth above the rate that operators allow over a
/// few seconds. A new planner starts with an empty budget, as its predecessor may have
/// used it up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LoadBudget {
    /// Loads that may begin now, in thousandths.
    available: u64,
    /// When it was last refilled.
    filled_at: Millis,
}

impl LoadBudget {
    /// An empty budget.
    pub fn empty(now: Millis) -> Self {
        Self {
            available: 0,
            filled_at: now,
        }
    }

    /// Refills it up to `now`. `rate` is the number of loads that may begin in 1,000 seconds.
    /// The budget holds at most one load and a quarter of those that may begin in a second.
    pub fn fill(&mut self, now: Millis, rate: u64) {
        let max = ONE_LOAD_MILLI + rate / 4;
        // `rate` is also thousandths of a load per second: the divisor is 1,000 ms, the same number
        // as `ONE_LOAD_MILLI`.
        let gained = now.saturating_sub(self.filled_at) * rate / ONE_LOAD_MILLI;
        if gained > 0 {
            self.available = (self.available + gained).min(max);
            self.filled_at = now;
        }
    }

    /// Whether a load may begin.
    pub fn has_room(&self) -> bool {
        self.available >= ONE_LOAD_MILLI
    }

    /// Counts a load that begins.
    pub fn take(&mut self) {
        self.available = self.available.saturating_sub(ONE_LOAD_MILLI);
    }
}
