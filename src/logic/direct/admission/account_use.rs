use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// What one client account has used recently.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AccountUse {
    /// The account.
    pub account: Arc<str>,
    /// Decayed cost of its requests that were sent, in microseconds of engine time.
    pub used: u64,
}
