use serde::{Deserialize, Serialize};

/// One key of the key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StoreEntry {
    /// The key.
    pub key: String,
    /// Its value.
    pub value: String,
    /// Revision of its last change.
    pub revision: i64,
}
