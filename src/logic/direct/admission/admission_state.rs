use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::decaying::Decaying;
use super::{AccountUsage, AccountUse, PoolLoad, QueueKey, StartForecast};
use crate::types::Millis;

/// State of admission: what accounts have used, and the load of capacity pools.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct AdmissionState {
    /// Use of client accounts.
    pub usage: AccountUsage,
    /// Use of the largest accounts by the subtrees of other routers: arrival and report.
    pub reports: BTreeMap<SocketAddr, (Millis, Vec<AccountUse>)>,
    /// Capacity pools with recent requests, by the key of their queue.
    pub pools: BTreeMap<QueueKey, PoolState>,
    /// Requests refused at once because they couldn't begin in time, since this process started.
    pub refused: u64,
    /// Requests that were sent late, since this process started.
    pub late: u64,
    /// Accounts evicted from the full table, since this process started.
    pub evicted: u64,
    /// When their eviction was last logged.
    pub evicted_at: Option<Millis>,
}

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
    pub lifts: AccountUsage,
    /// When a request was last sent there or found no room.
    pub used_at: Millis,
    /// Whether the start of contention was logged, and not yet its end.
    pub contended: bool,
}
