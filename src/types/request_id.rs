use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifies a request across all its attempts.
///
/// `node` is the incarnation of the router that accepted it, a random number, so that ids
/// of different routers differ.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestId {
    /// Incarnation of the router that accepted the request.
    pub node: u64,
    /// Sequence number within that incarnation.
    pub number: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-{}", self.node, self.number)
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}
