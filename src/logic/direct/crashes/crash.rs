use serde::{Deserialize, Serialize};

use crate::types::InstanceId;

/// An endpoint process that ended unexpectedly.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// The endpoint.
    pub endpoint: InstanceId,
    /// When that process started, in Unix milliseconds; absent where the platform doesn't
    /// report it.
    pub born: Option<u64>,
}
