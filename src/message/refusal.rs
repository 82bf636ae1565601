use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::types::Millis;

/// Why an agent refused an attempt. A refusal proves that the attempt didn't run.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// the agent has restarted since
    Incarnation,
    /// the agent doesn't lead this group at this epoch
    Epoch,
    /// the group lacks a member
    Closed,
    /// the group takes no new work
    Draining,
    /// the agent's bundle is {0}, newer than the router's
    Ahead(u64),
    /// the agent's bundle is {0}, older than the router's
    Behind(u64),
    /// the queue is full; try again in {0} ms
    Full(Millis),
    /// the deadline can't be met; try again in {0} ms
    TooLate(Millis),
    /// a run of this key is already known here
    Duplicate,
    /// the attempt was called off before it started
    Cancelled,
    /// the endpoint refused the order or couldn't be reached
    Endpoint,
}

impl Refusal {
    /// Whether another group may still take the request at once.
    pub fn elsewhere(&self) -> bool {
        !matches!(self, Refusal::Cancelled | Refusal::Duplicate)
    }

    /// When the refusing agent expects to have room, in milliseconds.
    pub fn retry_ms(&self) -> Option<Millis> {
        match self {
            Refusal::Full(ms) | Refusal::TooLate(ms) => Some(*ms),
            _ => None,
        }
    }
}
