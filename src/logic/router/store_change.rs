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
