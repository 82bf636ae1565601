use std::fmt;

use serde::{Deserialize, Serialize};

use crate::types::RequestId;

/// Identifies one attempt of a request.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RunId {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, counted from 1 by the router that accepted the request.
    pub attempt: u32,
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.request, self.attempt)
    }
}

impl fmt::Debug for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}
