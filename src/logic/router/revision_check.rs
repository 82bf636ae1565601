/// A condition of a write: the key has this revision; 0 means that it doesn't exist.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RevisionCheck {
    /// The key.
    pub key: String,
    /// Revision of its last change.
    pub revision: i64,
}
