use std::sync::Arc;

/// A client account of the operators' document, which is looked up by its keys.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyedAccount {
    /// Name; it is sent to endpoints instead of the key.
    pub name: Arc<str>,
    /// Priority that overrides that of the route; 0 is the most urgent.
    pub priority: Option<u8>,
}
