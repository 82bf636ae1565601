use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Once, RunId};
use crate::types::{GroupId, Millis};

/// Order to a group's leader to run an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RunOrder {
    /// Attempt to run.
    pub run: RunId,
    /// Group that is to run it.
    pub group: GroupId,
    /// Epoch of the group as the router knows it.
    pub epoch: u64,
    /// Incarnation of the agent that the order is for.
    pub incarnation: u64,
    /// Number of the bundle in force at the router.
    pub bundle: u64,
    /// Class of the request.
    pub class: Arc<str>,
    /// Client account of the request.
    pub account: Arc<str>,
    /// Weight of the account's share of the slots among accounts of the same priority.
    pub share: u32,
    /// Time left until the deadline, in milliseconds.
    pub left_ms: Millis,
    /// Claim on the request; present if it may not be repeated.
    pub once: Option<Once>,
    /// Path of the request to the endpoint.
    pub path: Arc<str>,
    /// Body of the request to the endpoint.
    pub body: Arc<str>,
    /// Number of pieces that the caller already has; the run continues after them.
    pub offset: u64,
    /// Text of those pieces.
    pub prefix: String,
}
