use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Bytes of the hash that are kept; 128 bits make a collision negligible.
const KEY_BYTES: usize = 16;

/// Names one request that may not be repeated: a hash of account and caller's key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey([u8; KEY_BYTES]);

impl ClaimKey {
    /// Hashes a client account's name and the `Idempotency-Key` it sent.
    pub fn new(account: &str, key: &str) -> Self {
        Self::of_parts(&[account.as_bytes(), key.as_bytes()])
    }

    /// Hashes a request's content, to notice a key that is used for another one.
    pub fn of_content(model: &str, path: &str, body: &str) -> Self {
        Self::of_parts(&[model.as_bytes(), path.as_bytes(), body.as_bytes()])
    }

    fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        for part in parts {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let digest = hash.finalize();
        let mut bytes = [0; KEY_BYTES];
        bytes.copy_from_slice(&digest[..KEY_BYTES]);
        Self(bytes)
    }
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}
