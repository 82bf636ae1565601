use serde::{Deserialize, Serialize};

use super::CrashRecord;
use crate::logic::direct::Fingerprint;

/// What a router tells others of a request that may crash endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub request: Fingerprint,
    /// What is known of it.
    pub record: CrashRecord,
}

impl CrashReport {
    /// Most bytes that it takes in a datagram.
    pub fn bytes(&self) -> usize {
        /// Names of fields, and a fingerprint.
        const FRAME: usize = 80;
        /// Names of the fields of a crash, and a time.
        const CRASH: usize = 30;
        let all = self.record.crashes.iter().chain(&self.record.cleared);
        let ids = all.map(|c| CRASH + c.endpoint.as_str().len());
        FRAME + ids.sum::<usize>()
    }
}
