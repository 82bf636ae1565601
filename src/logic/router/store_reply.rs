use super::StoreEntry;

/// Reply of the key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum StoreReply {
    /// What was read.
    Entries {
        /// The service's revision at the time.
        revision: i64,
        /// Keys and values.
        entries: Vec<StoreEntry>,
    },
    /// Result of a [`StoreCall::Transaction`](super::StoreCall).
    Transaction {
        /// True when every check held.
        done: bool,
        /// The service's revision at the time.
        revision: i64,
        /// What was read if a check failed.
        entries: Vec<StoreEntry>,
    },
    /// A lease was granted or renewed; `ttl_s` is 0 for one that has ended.
    Lease {
        /// Its number.
        lease: i64,
        /// Time left in seconds.
        ttl_s: u64,
    },
}
