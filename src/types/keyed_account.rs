use std::sync::Arc;

/// A client account as routes know it: by its keys.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyedAccount {
    /// Name; endpoints are told it in place of the key.
    pub name: Arc<str>,
    /// Rank that goes before the route's; 0 comes first.
    pub priority: Option<u8>,
}
