use super::{KeyWrite, RevisionCheck};

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
    /// Write and delete if every check holds; otherwise read. All of it is one transaction.
    Transaction {
        /// Conditions.
        checks: Vec<RevisionCheck>,
        /// Keys written if all conditions hold.
        puts: Vec<KeyWrite>,
        /// Keys deleted if all conditions hold.
        deletes: Vec<String>,
        /// Keys read if a condition fails.
        reads: Vec<String>,
    },
    /// Request a lease.
    Grant {
        /// Its length in seconds.
        ttl_s: u64,
    },
    /// End a lease, which deletes the keys attached to it.
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
