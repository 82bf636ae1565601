use serde::{Deserialize, Serialize};

use super::ClaimKey;
use crate::types::Millis;

/// The claim under which a request that may not be repeated is run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Once {
    /// Key of the claim.
    pub key: ClaimKey,
    /// Attempt number stored in the claim; grows with each new binding.
    pub attempt: u32,
    /// How long an agent remembers the key, in milliseconds.
    pub keep_ms: Millis,
}
