use serde::{Deserialize, Serialize};

use super::ClaimKey;
use crate::types::Millis;

/// Reference to the claim under which a request that may not be repeated is run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Once {
    /// Key of the claim.
    pub key: ClaimKey,
    /// Attempt number stored in the claim; increases each time it is bound to an agent.
    pub attempt: u32,
    /// How long the agent has to remember the key, in milliseconds.
    pub keep_ms: Millis,
}
