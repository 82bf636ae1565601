use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Bytes of a fingerprint.
const LENGTH: usize = 16;

/// Digest of what stays the same when a caller sends a request again: method, host, path,
/// body and client account.
///
/// The digest is cryptographic, so that nobody can make a request that is mistaken for
/// another caller's.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Fingerprint([u8; LENGTH]);

impl Fingerprint {
    /// Fingerprint of the parts. Their boundaries matter: `["ab", "c"]` and `["a", "bc"]`
    /// differ.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        for part in parts {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let mut bytes = [0; LENGTH];
        bytes.copy_from_slice(&hash.finalize()[..LENGTH]);
        Self(bytes)
    }

    /// Fingerprint of a prompt segment with an id.
    ///
    /// It differs from that of any request, whose parts are others.
    pub fn of_segment(id: &str) -> Self {
        Self::of(&[b"prompt segment", id.as_bytes()])
    }

    /// The fingerprints as a list for the log, separated by commas.
    pub fn join(all: &[Self]) -> String {
        let all: Vec<_> = all.iter().map(Self::to_string).collect();
        all.join(",")
    }

    /// Fingerprint of the same request sent by a client account.
    pub fn for_account(&self, account: Option<&str>) -> Self {
        match account {
            Some(account) => Self::of(&[&self.0, account.as_bytes()]),
            None => *self,
        }
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
