use crate::logic::router::StoreChange;

/// What came of waiting for changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Watched {
    /// Changes, in order; there may be none.
    Changes {
        /// Revision up to which they go.
        revision: i64,
        /// The changes.
        changes: Vec<StoreChange>,
    },
    /// The store no longer knows what happened: everything is read anew.
    Forgotten,
    /// No answer that can be used.
    Fault,
}
