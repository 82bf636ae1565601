use std::collections::BTreeMap;
use std::sync::Arc;

use super::{AppointmentTable, CapacityForecast, Opening, PoolKey, SendRate};
use crate::types::Millis;

/// State of returns.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ReturnsState {
    /// Rates at which requests are sent in time, by pool.
    pub rates: BTreeMap<PoolKey, SendRate>,
    /// Groups that are being formed, by name.
    pub openings: BTreeMap<Arc<str>, Opening>,
    /// Forecasts by pool, with the time of each; none where nothing is known.
    pub forecasts: BTreeMap<PoolKey, (Millis, Option<CapacityForecast>)>,
    /// When pools were last surveyed.
    pub surveyed_at: Millis,
    /// Appointments that were given.
    pub table: AppointmentTable,
    /// Whether the table had no room for the last appointment.
    pub full: bool,
    /// Number of appointments given since this process started.
    pub given: u64,
    /// Number of requests that came back in time for theirs.
    pub kept: u64,
    /// Number of these that were refused again.
    pub refused_again: u64,
}
