use std::sync::Arc;

use super::QueuedClaim;
use crate::types::{Bundle, DomainRecord, Millis};

/// Number of a call to the key-value service within one process.
pub type CallId = u64;

/// Why a call was made, which decides how its result is handled.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum CallPurpose {
    /// Read everything below `fleet/`.
    ReadFleet,
    /// Prove that the bundle in force is the newest; sent at this time.
    ProveHead(Millis),
    /// Store a submitted bundle for an operator.
    Submit {
        /// The operator's call.
        job: u64,
        /// The bundle.
        bundle: Arc<Bundle>,
    },
    /// Store an approval.
    Approve {
        /// The operator's call.
        job: u64,
        /// The bundle.
        number: u64,
        /// The operator.
        by: String,
    },
    /// Write the head.
    Roll,
    /// Write a batch of claims.
    Claims(Vec<QueuedClaim>),
    /// Request the lease that claims are attached to; sent at this time.
    ClaimLease(Millis),
    /// Read whether another router holds the planner lease.
    ReadPlanner,
    /// Request the lease for the planner's key; sent at this time.
    PlannerLease(Millis),
    /// Create the planner's key, attached to the lease.
    AcquirePlanner {
        /// The lease.
        lease: i64,
        /// When the lease was requested.
        asked_at: Millis,
    },
    /// Renew the planner's lease; sent at this time.
    RenewPlanner(Millis),
    /// Write a domain's record.
    WriteDomain(Box<DomainRecord>),
}
