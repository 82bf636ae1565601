/// A call to the platform's key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum StoreCall {
    /// Read one key, or all keys with a prefix.
    Read {
        /// Key or prefix.
        key: String,
        /// Whether it is a prefix.
        prefix: bool,
    },
    /// Write if every check holds; otherwise read.
    Swap {
        /// What must hold.
        checks: Vec<Check>,
        /// What is written then.
        puts: Vec<Put>,
        /// Keys deleted with the write.
        deletes: Vec<String>,
        /// Keys read where a check fails.
        reads: Vec<String>,
    },
    /// Ask for a lease.
    Grant {
        /// Its length in seconds.
        ttl_s: u64,
    },
    /// Renew a lease.
    Renew {
        /// Its number.
        lease: i64,
    },
}

/// A key's revision that must be as given; 0 means that the key is absent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Check {
    /// The key.
    pub key: String,
    /// Revision of its last change.
    pub revision: i64,
}

/// One value to write.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// Lease that deletes the key when it ends.
    pub lease: Option<i64>,
}
