use serde::{Deserialize, Serialize};

use super::CrashRecord;
use crate::logic::direct::Fingerprint;

/// What a router sends to others, and writes to the key-value service, about a request or a prompt
/// segment that may crash endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request, or the segment.
    #[serde(rename = "request")]
    pub cause: Fingerprint,
    /// Its crashes.
    pub record: CrashRecord,
}

impl CrashReport {
    /// Upper bound of its size in a datagram, in bytes.
    pub fn max_bytes(&self) -> usize {
        /// The names of the fields and the fingerprint.
        const FRAME_BYTES: usize = 96;
        /// The names of the fields of a crash and its time, without the endpoint's id.
        const CRASH_BYTES: usize = 30;
        let all = self.record.crashes.iter().chain(&self.record.cleared);
        let all = all.chain(&self.record.alone);
        let ids = all.map(|c| CRASH_BYTES + c.endpoint.as_str().len());
        /// An age without the endpoint's id.
        const AGE_BYTES: usize = 8;
        let ages = self.record.ages.keys();
        let ages = ages.map(|id| AGE_BYTES + id.as_str().len());
        FRAME_BYTES + ids.sum::<usize>() + ages.sum::<usize>()
    }
}
