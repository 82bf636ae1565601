use std::collections::BTreeMap;

use super::CrashRecord;
use crate::logic::direct::Fingerprint;
use crate::types::Millis;

/// Most requests that are remembered. Of more, those with the fewest crashes are forgotten
/// first, so that many suspects don't push out a request that is refused.
const MOST: usize = 1_024;

/// Time after its last crash that a request is remembered for. A request that is refused
/// never shows that it does no harm any more, as after a new version of the service, so
/// that it gets another chance then.
pub(super) const REMEMBERED_MS: Millis = 600_000;

/// What requests have done to endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct CrashTable {
    records: BTreeMap<Fingerprint, Known>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Known {
    record: CrashRecord,
    /// When something was last learnt of it.
    at: Millis,
}

impl CrashTable {
    /// What is known of a request.
    pub fn get(&self, request: &Fingerprint) -> Option<&CrashRecord> {
        self.records.get(request).map(|k| &k.record)
    }

    /// Crashes that count against a request.
    pub fn suspected(&self, request: &Fingerprint) -> usize {
        self.get(request).map_or(0, CrashRecord::suspected)
    }

    /// Whether a request is refused.
    pub fn blocks(&self, request: &Fingerprint) -> bool {
        self.get(request).is_some_and(CrashRecord::blocks)
    }

    /// Requests that are refused.
    pub fn blocked(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        let blocked = self.records.iter().filter(|(_, k)| k.record.blocks());
        blocked.map(|(request, _)| *request)
    }

    /// Requests that are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Takes in what is known of a request; false where that is nothing new.
    pub fn merge(&mut self, now: Millis, request: Fingerprint, record: &CrashRecord) -> bool {
        let known = self.records.entry(request).or_default();
        let changed = known.record.merge(record);
        if changed {
            known.at = now;
        }
        if known.record.crashes.is_empty() {
            self.records.remove(&request);
        }
        self.make_room();
        changed
    }

    /// Clears a request of all crashes so far; false where there are none.
    pub fn clear(&mut self, request: &Fingerprint) -> bool {
        let known = self.records.get_mut(request);
        known.is_some_and(|k| k.record.clear())
    }

    /// Forgets what was learnt long ago.
    pub fn tend(&mut self, now: Millis) {
        self.records.retain(|_, k| now < k.at + REMEMBERED_MS);
    }

    fn make_room(&mut self) {
        if self.records.len() <= MOST {
            return;
        }
        let least = |(_, k): &(&Fingerprint, &Known)| (k.record.suspected(), k.at);
        let least = self.records.iter().min_by_key(least);
        if let Some(request) = least.map(|(request, _)| *request) {
            self.records.remove(&request);
        }
    }
}
