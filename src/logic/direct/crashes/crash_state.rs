use std::collections::BTreeMap;

use super::{CrashTable, Doubt, RecentlyServed};
use crate::logic::direct::Fingerprint;
use crate::logic::router::CallId;
use crate::types::{InstanceId, Millis};

/// What a router knows of requests that crash endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct CrashState {
    /// What requests have done to endpoints.
    pub table: CrashTable,
    /// Endpoints that may have crashed.
    pub doubts: BTreeMap<InstanceId, Doubt>,
    /// Requests that are no suspects, as they were answered whole lately.
    pub served: RecentlyServed,
    /// What is told to other routers again: when, and how often still.
    pub untold: BTreeMap<Fingerprint, (Millis, u32)>,
    /// What is written to the key-value service.
    pub keep: Keep,
    /// Requests that were refused, in this life of the process.
    pub refused: u64,
}

/// Writes requests that are refused to the key-value service, so that routers which start
/// later know them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Keep {
    /// What is to be written, and from when on.
    pub queue: BTreeMap<Fingerprint, Millis>,
    /// What is being written.
    pub current: Option<Fingerprint>,
    /// Lease that it is written under.
    pub lease: Option<i64>,
    /// The call that is under way.
    pub call: Option<CallId>,
    /// When the next call may be made.
    pub next_at: Millis,
}
