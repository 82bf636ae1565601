use super::{Check, Put};

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
    /// End a lease; its keys go with it.
    Revoke {
        /// Its number.
        lease: i64,
    },
    /// Renew a lease.
    Renew {
        /// Its number.
        lease: i64,
    },
}
