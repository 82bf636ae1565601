use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Identifies a group from its formation to its end; a repaired group keeps its id.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GroupId {
    /// Fabric domain of all members.
    pub domain: Arc<str>,
    /// Number within the domain; never reused.
    pub number: u64,
}

impl GroupId {
    /// Builds an id from a domain's name and a number within it.
    pub fn new(domain: &str, number: u64) -> Self {
        Self {
            domain: Arc::from(domain),
            number,
        }
    }
}

impl fmt::Display for GroupId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.domain, self.number)
    }
}

impl fmt::Debug for GroupId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}
