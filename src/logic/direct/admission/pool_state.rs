use super::decaying::Decaying;
use super::{PoolLoad, StartForecast, UsageTable};
use crate::types::Millis;

/// State of one capacity pool: the heads of a model, or the endpoints of a plain service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PoolState {
    /// Its load.
    pub load: PoolLoad,
    /// Times to the first event over all its endpoints, used for those that were measured too
    /// little.
    pub starts: StartForecast,
    /// Forecast time to the first event at its best endpoint, without the time to read the
    /// request's own prompt; none before enough was measured.
    pub forecast: Option<Millis>,
    /// Level of service: the highest use, before the request, of an account that was served.
    pub level: Decaying,
    /// By how much accounts that had used little were lifted towards that level when they were
    /// served; part of their tags in this pool.
    pub lifts: UsageTable,
    /// When a request was last sent there or found no room.
    pub used_at: Millis,
    /// Whether the start of contention was logged, and not yet its end.
    pub contended: bool,
}
