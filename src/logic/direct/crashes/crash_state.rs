use std::collections::BTreeMap;

use super::{CrashTable, RecentlyServed, SuspectedCrash, Trial, TrialGrants, Verdict};
use crate::logic::direct::Fingerprint;
use crate::logic::router::CallId;
use crate::types::{InstanceId, Millis};

/// What a router knows about requests and prompt segments that crash endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct CrashState {
    /// Crashes by request and by segment.
    pub table: CrashTable,
    /// Endpoints that may have crashed and are probed.
    pub suspected_crashes: BTreeMap<InstanceId, SuspectedCrash>,
    /// Requests and segments that aren't sent, with what last followed for them.
    pub withheld: BTreeMap<Fingerprint, Verdict>,
    /// Time at which these are reviewed next.
    pub review_at: Millis,
    /// The request that was last tried alone.
    pub trial: Option<Trial>,
    /// Trials that were granted to this router, and by it.
    pub grants: TrialGrants,
    /// Requests that were answered in full recently, and are not suspected of crashes.
    pub served: RecentlyServed,
    /// Segments of requests whose answers began recently.
    pub served_segments: RecentlyServed,
    /// Requests whose records are still to be sent to the other routers: when next, and how
    /// many times more.
    pub pending_reports: BTreeMap<Fingerprint, (Millis, u32)>,
    /// Writes to the key-value service.
    pub store: CrashStore,
    /// Number of requests that were turned away as blocked since the process started.
    pub refusals: u64,
}

/// State of the writes of blocked requests to the key-value service, from which routers that
/// start later read them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct CrashStore {
    /// Requests whose records are to be written, and from when on.
    pub queue: BTreeMap<Fingerprint, Millis>,
    /// The request whose record is being written.
    pub current: Option<Fingerprint>,
    /// Lease that its key is attached to.
    pub lease: Option<i64>,
    /// The call that has not been answered yet.
    pub call: Option<CallId>,
    /// When the next call may be made.
    pub next_at: Millis,
}
