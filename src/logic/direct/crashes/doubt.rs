use std::collections::BTreeSet;

use crate::logic::direct::Fingerprint;
use crate::types::Millis;

/// An endpoint that may have crashed, and the requests that it may have crashed by.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Doubt {
    /// When its life had begun.
    pub born: Option<u64>,
    /// Requests that had just begun there; none once it has answered.
    pub requests: BTreeSet<Fingerprint>,
    /// Whether the answer to a look is awaited.
    pub looking: bool,
    /// When it may be looked at next.
    pub next_at: Millis,
    /// Looks without an answer.
    pub misses: u32,
}
