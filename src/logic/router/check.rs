/// A key's revision that must be as given; 0 means that the key is absent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Check {
    /// The key.
    pub key: String,
    /// Revision of its last change.
    pub revision: i64,
}
