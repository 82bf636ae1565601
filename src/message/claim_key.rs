use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Length of a key in bytes; at 128 bits collisions are negligible.
const KEY_BYTES: usize = 16;

/// Key of the claim on a request that may not be repeated: a hash of the client account
/// and its idempotency key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey([u8; KEY_BYTES]);

impl ClaimKey {
    /// Hashes the name of a client account and the `Idempotency-Key` header it sent.
    pub fn new(account: &str, key: &str) -> Self {
        Self::of_parts(&[account.as_bytes(), key.as_bytes()])
    }

    /// Hashes the content of a request, to detect that an idempotency key is reused for
    /// another request.
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
