/// Result of a call to the key-value service.
pub type StoreResult = Result<StoreReply, StoreFault>;

/// Answer of the key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum StoreReply {
    /// What was read.
    Entries {
        /// The service's revision at the time.
        revision: i64,
        /// Keys and values.
        entries: Vec<StoreEntry>,
    },
    /// Whether a swap was written.
    Swapped {
        /// True when every check held.
        done: bool,
        /// The service's revision at the time.
        revision: i64,
        /// What was read where a check failed.
        entries: Vec<StoreEntry>,
    },
    /// A lease was given or renewed; `ttl_s` is 0 for one that has ended.
    Lease {
        /// Its number.
        lease: i64,
        /// Time left in seconds.
        ttl_s: u64,
    },
}

/// One key of the service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StoreEntry {
    /// The key.
    pub key: String,
    /// Its value.
    pub value: String,
    /// Revision of its last change.
    pub revision: i64,
}

/// One change that a watch reports.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StoreChange {
    /// The key.
    pub key: String,
    /// Its new value; absent when it was deleted.
    pub value: Option<String>,
    /// Revision of the change.
    pub revision: i64,
}

/// No answer came. A write may or may not have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StoreFault;
