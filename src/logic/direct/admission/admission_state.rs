use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::{AccountUse, PoolState, QueueKey, UsageTable};
use crate::types::Millis;

/// State of admission: what accounts have used, and the load of capacity pools.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct AdmissionState {
    /// Use of client accounts.
    pub usage: UsageTable,
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
