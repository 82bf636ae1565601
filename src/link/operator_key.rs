use std::sync::Arc;

/// What a key that operators write in the store stands for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorKey {
    /// The routing.
    Routing,
    /// A data hall that is evacuated as long as the key exists.
    Evacuation(Arc<str>),
}
