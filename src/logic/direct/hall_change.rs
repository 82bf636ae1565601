use std::sync::Arc;

/// A change of whether operators evacuate a data hall.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HallChange {
    /// The hall.
    pub hall: Arc<str>,
    /// Revision of the store at which it was made.
    pub revision: i64,
    /// Whether the hall is evacuated from then on.
    pub evacuated: bool,
}
