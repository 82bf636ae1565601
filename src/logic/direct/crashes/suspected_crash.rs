use std::collections::BTreeMap;

use crate::logic::direct::Fingerprint;
use crate::types::Millis;

/// An endpoint that may have crashed, and the requests that may have caused it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct SuspectedCrash {
    /// When the endpoint process started, in Unix milliseconds; absent where the platform
    /// doesn't report it.
    pub born: Option<u64>,
    /// Requests whose run there broke off before its first event, with the longest time for which a
    /// run of each had been there; empty once a probe has decided, or the endpoint is no longer
    /// probed.
    pub requests: BTreeMap<Fingerprint, u32>,
    /// The same for the segments of their prompts.
    pub segments: BTreeMap<Fingerprint, u32>,
    /// The request and segments that were tried alone there.
    pub tried: Vec<Fingerprint>,
    /// Whether the result of a probe is awaited.
    pub probe_pending: bool,
    /// When the next probe may be sent.
    pub next_at: Millis,
    /// Number of probes without an answer since the first of these requests.
    pub misses: u32,
    /// Whether the last probe has shown that the process has ended.
    pub has_ended: bool,
}

impl SuspectedCrash {
    /// Whether a probe has just shown that the process which started at `born` has ended. Its
    /// other runs break off at about the same time, some of them after the result of the probe.
    pub fn has_just_ended(&self, now: Millis, born: Option<u64>) -> bool {
        self.has_ended && now < self.next_at && self.born == born
    }

    /// Whether anything is suspected.
    pub fn has_suspects(&self) -> bool {
        !self.requests.is_empty() || !self.segments.is_empty()
    }

    /// Whether a request or a segment is suspected.
    pub fn suspects(&self, cause: &Fingerprint) -> bool {
        self.requests.contains_key(cause) || self.segments.contains_key(cause)
    }
}
