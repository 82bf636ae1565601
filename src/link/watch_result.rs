use crate::logic::router::StoreChange;

/// The result of a watch call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchResult {
    /// Changes in order, possibly none.
    Changes {
        /// Revision up to which the changes are complete.
        revision: i64,
        /// The changes.
        changes: Vec<StoreChange>,
        /// Why further ones can't be read.
        unread: Vec<String>,
    },
    /// The store no longer keeps the changes since the revision: all keys have to be read again.
    Compacted,
    /// No valid answer was received.
    NoAnswer,
}
