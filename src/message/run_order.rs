use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Once, RunId};
use crate::types::{GroupId, Millis};

/// Order to run one attempt on a group, sent to the group's leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RunOrder {
    /// The attempt.
    pub run: RunId,
    /// Group that shall run it.
    pub group: GroupId,
    /// The group's epoch as the router knows it.
    pub epoch: u64,
    /// Incarnation of the agent it is meant for.
    pub incarnation: u64,
    /// The router's bundle number.
    pub bundle: u64,
    /// Class of the request.
    pub class: Arc<str>,
    /// Client account.
    pub account: Arc<str>,
    /// The account's share among others of the class.
    pub share: u32,
    /// Time left until the deadline, in milliseconds.
    pub left_ms: Millis,
    /// Present when the request may not be repeated.
    pub once: Option<Once>,
    /// Path at the endpoint.
    pub path: Arc<str>,
    /// Body for the endpoint.
    pub body: Arc<str>,
    /// Pieces the caller already has; the run continues behind them.
    pub offset: u64,
    /// Text of those pieces.
    pub prefix: String,
}
