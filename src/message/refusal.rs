use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::types::Millis;

/// Why an agent refused an attempt. A refused attempt has not run.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// the order is for an earlier incarnation of the agent
    Incarnation,
    /// the agent doesn't lead this group at this epoch
    Epoch,
    /// a member of the group is missing or has not loaded
    Closed,
    /// the group is draining and accepts no new requests
    Draining,
    /// the agent's bundle is {0}, newer than the router's
    Ahead(u64),
    /// the agent's bundle is {0}, older than the router's
    Behind(u64),
    /// the queue is full; retry in {0} ms
    Full(Millis),
    /// the deadline can't be met; retry in {0} ms
    TooLate(Millis),
    /// the agent already knows a run for this idempotency key
    Duplicate,
    /// the attempt was cancelled or barred before it started
    Cancelled,
    /// the endpoint refused the request, or the request could not be sent to it in time
    Endpoint,
}

impl Refusal {
    /// Whether the request may be sent to another group.
    pub fn elsewhere(&self) -> bool {
        !matches!(self, Refusal::Cancelled | Refusal::Duplicate)
    }

    /// Time after which the refusing agent expects to start new requests, in milliseconds.
    pub fn retry_ms(&self) -> Option<Millis> {
        match self {
            Refusal::Full(ms) | Refusal::TooLate(ms) => Some(*ms),
            _ => None,
        }
    }
}
