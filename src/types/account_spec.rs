use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One client account.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountSpec {
    /// Name used in metrics and logs.
    pub name: Arc<str>,
    /// SHA-256 of the account's bearer key, in lower-case hexadecimal.
    pub key_sha256: Arc<str>,
    /// Classes the account may use.
    pub classes: Vec<Arc<str>>,
    /// Weight of the account's share of the slots among accounts of the same priority;
    /// 1 when absent.
    #[serde(default = "one")]
    pub share: u32,
    /// Maximum number of the account's requests in flight at one router.
    #[serde(default = "default_limit")]
    pub limit: u32,
}

fn one() -> u32 {
    1
}

fn default_limit() -> u32 {
    1_000
}
