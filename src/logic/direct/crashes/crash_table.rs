use std::collections::BTreeMap;

use super::{CrashRecord, Verdict, MIN_RISKY_CRASHES};
use crate::logic::direct::Fingerprint;
use crate::types::Millis;

/// Largest number of records. Beyond it, the record with the fewest crashes is evicted first,
/// so that many suspected requests don't evict one that is blocked.
const MAX_RECORDS: usize = 1_024;

/// Time for which a record is kept after the last merge that changed it; clearing doesn't extend
/// it. A blocked request is never sent, so it can't show that it has become harmless, say with a
/// new version of the service: once its record has expired, it is sent again.
pub(super) const RETENTION_MS: Millis = 600_000;

/// Crashes that two requests with the same cause needn't share: a router that ends loses what it
/// hasn't reported yet.
const MAX_UNSHARED: usize = 1;

/// Time that other routers get to report the last crash of a request, three sends of a report
/// included. Within it a request that shares all other crashes with one of stronger evidence isn't
/// refused for good.
const SETTLING_MS: Millis = 1_000;

/// The crash records of requests and of prompt segments.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct CrashTable {
    records: BTreeMap<Fingerprint, TableEntry>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct TableEntry {
    record: CrashRecord,
    /// When a merge last changed the record.
    updated_at: Millis,
}

impl CrashTable {
    /// The record of a request, if there is one.
    pub fn get(&self, request: &Fingerprint) -> Option<&CrashRecord> {
        self.records.get(request).map(|e| &e.record)
    }

    /// Number of crashes that count against a request.
    pub fn counted_crashes(&self, request: &Fingerprint) -> usize {
        self.get(request).map_or(0, CrashRecord::counted_crashes)
    }

    /// Number of crashes at which a request was tried alone.
    pub fn alone_crashes(&self, request: &Fingerprint) -> usize {
        self.get(request).map_or(0, |r| r.alone.len())
    }

    /// Whether a record is that of a segment.
    pub fn is_segment(&self, cause: &Fingerprint) -> bool {
        self.get(cause).is_some_and(|r| r.is_segment)
    }

    /// Whether routers don't send a request unless it is tried.
    pub fn is_blocked(&self, request: &Fingerprint) -> bool {
        self.get(request).is_some_and(CrashRecord::is_blocked)
    }

    /// Whether a request has been at so many crashes that it is sent with care: one at a time.
    pub fn is_risky(&self, request: &Fingerprint) -> bool {
        let record = self.get(request);
        record.is_some_and(|record| {
            record.counted_crashes() >= MIN_RISKY_CRASHES && !self.is_explained(request, record)
        })
    }

    /// Whether a segment that crashed an endpoint when it was tried alone was at the crashes of
    /// `record`, which is that of `request`.
    fn is_explained(&self, request: &Fingerprint, record: &CrashRecord) -> bool {
        let is_cause = |other: &CrashRecord| {
            let shared = record.shared_crashes(other).len();
            other.is_segment
                && other.has_crashed_alone()
                && shared >= MIN_RISKY_CRASHES
                && record.counted_crashes() - shared <= MAX_UNSHARED
        };
        let mut others = self.records.iter().filter(|(other, _)| *other != request);
        !record.has_crashed_alone() && others.any(|(_, e)| is_cause(&e.record))
    }

    /// What follows for a request or a segment from all records.
    pub fn verdict(&self, now: Millis, request: &Fingerprint) -> Verdict {
        let Some(entry) = self.records.get(request) else {
            return Verdict::Sent;
        };
        if !entry.record.is_blocked() {
            return Verdict::Sent;
        }
        let record = &entry.record;
        if self.is_explained(request, record) {
            return Verdict::Sent;
        }
        // Segments are shared by many requests, so that crashes alone don't have them refused.
        if record.is_segment {
            return match record.has_crashed_alone() {
                true => Verdict::Refused,
                false => Verdict::Held,
            };
        }
        let is_settling = now < entry.updated_at + SETTLING_MS;
        let is_suspected_more = |name: &Fingerprint, other: &CrashRecord| {
            let shared = record.shared_crashes(other);
            let unshared = record.counted_crashes() - shared.len();
            let is_weaker = shared.len() >= MIN_RISKY_CRASHES
                && unshared <= MAX_UNSHARED
                && (other.is_segment
                    || record.is_weaker_than(other, &shared)
                    || (name < request && record.is_tied_with(other, &shared)));
            // Reports may still show that the other one was at the rest of these crashes.
            let may_be_weaker = !shared.is_empty()
                && unshared > 0
                && other.counted_crashes() >= MIN_RISKY_CRASHES
                && !record.has_crashed_alone();
            match is_settling {
                true => is_weaker || may_be_weaker,
                false => is_weaker && other.is_blocked(),
            }
        };
        let mut others = self.records.iter().filter(|(other, _)| *other != request);
        match others.any(|(name, e)| is_suspected_more(name, &e.record)) {
            false => Verdict::Refused,
            true if is_settling => Verdict::Unsettled,
            true => Verdict::Held,
        }
    }

    /// Other requests that were at crashes which count against a request, and are risky themselves.
    pub fn sharing(&self, request: &Fingerprint) -> Vec<Fingerprint> {
        let Some(record) = self.get(request) else {
            return Vec::new();
        };
        let is_sharing = |(other, e): &(&Fingerprint, &TableEntry)| {
            *other != request
                && e.record.counted_crashes() >= MIN_RISKY_CRASHES
                && !record.shared_crashes(&e.record).is_empty()
        };
        let sharing = self.records.iter().filter(is_sharing);
        sharing.map(|(other, _)| *other).collect()
    }

    /// The requests that routers refuse or hold.
    pub fn blocked(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        let blocked = self.records.iter().filter(|(_, e)| e.record.is_blocked());
        blocked.map(|(request, _)| *request)
    }

    /// Number of crashes that count against any request.
    pub fn all_counted(&self) -> usize {
        let records = self.records.values();
        records.map(|e| e.record.counted_crashes()).sum()
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Adds the crashes and the cleared crashes of a record to that of a request; returns whether
    /// it has changed.
    pub fn merge(&mut self, now: Millis, request: Fingerprint, record: &CrashRecord) -> bool {
        let entry = self.records.entry(request).or_default();
        let changed = entry.record.merge(record);
        if changed {
            entry.updated_at = now;
        }
        if entry.record.crashes.is_empty() {
            self.records.remove(&request);
        }
        self.evict_least();
        changed
    }

    /// Marks all crashes of a request as cleared; returns whether one of them still counted.
    pub fn clear(&mut self, request: &Fingerprint) -> bool {
        let entry = self.records.get_mut(request);
        entry.is_some_and(|e| e.record.clear())
    }

    /// Removes the records that no merge has changed for the retention time.
    pub fn remove_expired(&mut self, now: Millis) {
        self.records
            .retain(|_, e| now < e.updated_at + RETENTION_MS);
    }

    fn evict_least(&mut self) {
        if self.records.len() <= MAX_RECORDS {
            return;
        }
        let fewest =
            |(_, e): &(&Fingerprint, &TableEntry)| (e.record.counted_crashes(), e.updated_at);
        let fewest = self.records.iter().min_by_key(fewest);
        if let Some(request) = fewest.map(|(request, _)| *request) {
            self.records.remove(&request);
        }
    }
}
