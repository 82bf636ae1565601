use serde::{Deserialize, Serialize};

use crate::types::InstanceId;

/// The sudden end of one life of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// The endpoint.
    pub endpoint: InstanceId,
    /// When that life had begun, in Unix milliseconds; absent where the platform doesn't
    /// tell.
    pub born: Option<u64>,
}
