use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::types::Millis;

/// Length of each of the two periods that are compared, in milliseconds.
pub(in crate::logic::direct) const TREND_PERIOD_MS: Millis = 2_000;

/// Time by which demand is extrapolated from now: a group takes 1 to 2.5 s to open, and is to serve
/// then.
const HORIZON_MS: Millis = 2_000;

/// Requests for a model over the last seconds, in thousandths a second.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ModelTrend {
    /// The model.
    pub model: Arc<str>,
    /// Mean over the whole window of the demand.
    pub mean: u64,
    /// Over the last 2 s.
    pub last: u64,
    /// Over the 2 s before.
    pub before: u64,
}

impl ModelTrend {
    /// No requests for a model.
    pub fn none(model: &Arc<str>) -> Self {
        Self {
            model: model.clone(),
            mean: 0,
            last: 0,
            before: 0,
        }
    }

    /// Adds requests for the same model at other routers.
    pub fn add(&mut self, other: &Self) {
        self.mean = self.mean.saturating_add(other.mean);
        self.last = self.last.saturating_add(other.last);
        self.before = self.before.saturating_add(other.before);
    }

    /// Expected requests at the time at which a group that is ordered now serves, in thousandths
    /// a second: the mean of both periods with the change between them extrapolated, as far as it
    /// exceeds the standard deviation of random arrivals. At least half and at most twice the
    /// present rate.
    pub fn forecast(&self) -> u64 {
        let (last, before) = (self.last as f64 / 1_000.0, self.before as f64 / 1_000.0);
        let period_s = TREND_PERIOD_MS as f64 / 1_000.0;
        let deviation = ((last + before) / period_s).sqrt();
        let change = last - before;
        let change = change.signum() * (change.abs() - deviation).max(0.0);
        // From the middle of both periods together, which is one period ago.
        let ahead = (TREND_PERIOD_MS + HORIZON_MS) as f64 / TREND_PERIOD_MS as f64;
        let mean = (last + before) / 2.0;
        let present = mean + change / 2.0;
        let expected = (mean + change * ahead).clamp(present / 2.0, present * 2.0);
        (expected * 1_000.0) as u64
    }
}
