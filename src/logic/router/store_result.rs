use super::{StoreFault, StoreReply};

/// Result of a call to the key-value service.
pub type StoreResult = Result<StoreReply, StoreFault>;
