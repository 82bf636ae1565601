use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifies one request at the router that took it, across its attempts.
///
/// `node` is the router's incarnation, so two routers never share an id.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestId {
    /// Incarnation of the router that accepted the request.
    pub node: u64,
    /// Counter within that incarnation.
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
