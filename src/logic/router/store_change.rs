use super::StoreEntry;

/// One change that a watch reports.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StoreChange {
    /// The key.
    pub key: String,
    /// Its new value; absent when it was deleted.
    pub value: Option<String>,
    /// Revision of the change.
    pub revision: i64,
}

impl From<StoreEntry> for StoreChange {
    fn from(entry: StoreEntry) -> Self {
        Self {
            key: entry.key,
            value: Some(entry.value),
            revision: entry.revision,
        }
    }
}
