use std::collections::BTreeMap;

use super::trial_delay::TrialDelay;
use super::{Crash, CrashRecord, Verdict, MIN_RISKY_CRASHES};
use crate::logic::direct::Fingerprint;
use crate::types::Millis;

/// Largest number of records. Beyond it, the record with the fewest crashes is evicted first,
/// so that many suspected requests don't evict one that is blocked.
const MAX_RECORDS: usize = 1_024;

/// Largest number of crashes whose times are kept.
const MAX_LEARNT: usize = 4_096;

/// Time for which a record is kept after the last merge that changed it; clearing doesn't extend
/// it. Once its record has expired, a request is sent again.
pub(super) const RETENTION_MS: Millis = 600_000;

/// Crashes that two causes at the same crashes needn't share: a router that ends loses what it
/// hasn't reported yet.
const MAX_UNSHARED: usize = 1;

/// Time that other routers get to report the last crash of a request, three sends of a report
/// included. Within it a request that shares all other crashes with one of stronger evidence is neither
/// tried nor blocked.
const SETTLING_MS: Millis = 1_000;

/// Crashes of endpoints that this router learns of within this time may have one cause, such as a
/// failure of power.
const TOGETHER_MS: Millis = 1_000;

/// Time around the crashes under a cause within which others show that endpoints fail without it.
const NEAR_MS: Millis = 2_000;

/// Number of such other crashes from which on those under a cause may have come about by chance.
const MIN_OTHER_CRASHES: usize = MAX_UNSHARED + 1;

/// Time for which requests with several held segments aren't tried: meanwhile one with a single one of
/// them may show which is harmless, which the crash of a trial with all of them wouldn't.
const SINGLE_TRIALS_MS: Millis = 2_000;

/// The crash records of requests and of prompt segments.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct CrashTable {
    records: BTreeMap<Fingerprint, TableEntry>,
    /// When this router learnt of each crash; absent for those that it has read from the key-value
    /// service, and after the retention time.
    learnt: BTreeMap<Crash, Millis>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct TableEntry {
    record: CrashRecord,
    /// When a merge last changed the record.
    updated_at: Millis,
    /// Trials here whose crash the record had already.
    known_trials: usize,
}

impl CrashTable {
    /// The record of a cause, if there is one.
    pub fn get(&self, cause: &Fingerprint) -> Option<&CrashRecord> {
        self.records.get(cause).map(|e| &e.record)
    }

    /// Number of crashes that count against a cause.
    pub fn counted_crashes(&self, cause: &Fingerprint) -> usize {
        self.get(cause).map_or(0, CrashRecord::counted_crashes)
    }

    /// Number of crashes at which a cause was tried alone.
    pub fn alone_crashes(&self, cause: &Fingerprint) -> usize {
        self.get(cause).map_or(0, |r| r.alone.len())
    }

    /// Whether a cause is a segment of prompts.
    pub fn is_segment(&self, cause: &Fingerprint) -> bool {
        self.get(cause).is_some_and(|r| r.is_segment)
    }

    /// Whether a cause is a request or a segment of prompts, for the log.
    pub fn kind(&self, cause: &Fingerprint) -> &'static str {
        match self.is_segment(cause) {
            true => "segment",
            false => "request",
        }
    }

    /// Time since a merge last changed the record of a cause; 0 if there is none.
    pub fn age(&self, now: Millis, cause: &Fingerprint) -> Millis {
        let entry = self.records.get(cause);
        entry.map_or(0, |e| now.saturating_sub(e.updated_at))
    }

    /// Whether routers don't send requests with a cause, unless another one explains its crashes or it
    /// is tried.
    pub fn is_blocked(&self, cause: &Fingerprint) -> bool {
        self.get(cause).is_some_and(CrashRecord::is_blocked)
    }

    /// Whether a cause was at so many crashes that requests with it are sent one at a time.
    pub fn is_risky(&self, cause: &Fingerprint) -> bool {
        let record = self.get(cause);
        record.is_some_and(|record| {
            record.counted_crashes() >= MIN_RISKY_CRASHES && !self.is_explained(cause, record)
        })
    }

    /// Whether a segment that crashed an endpoint when it was tried alone was at the crashes of
    /// `record`, which is that of `cause`.
    fn is_explained(&self, cause: &Fingerprint, record: &CrashRecord) -> bool {
        let is_cause = |other: &CrashRecord| {
            let shared = record.shared_crashes(other).len();
            other.is_segment
                && other.has_crashed_alone()
                && shared >= MIN_RISKY_CRASHES
                && record.counted_crashes() - shared <= MAX_UNSHARED
        };
        let mut others = self.records.iter().filter(|(other, _)| *other != cause);
        !record.has_crashed_alone() && others.any(|(_, e)| is_cause(&e.record))
    }

    /// What follows for requests with a cause from all records.
    pub fn verdict(&self, now: Millis, cause: &Fingerprint) -> Verdict {
        let Some(entry) = self.records.get(cause) else {
            return Verdict::Sent;
        };
        if !entry.record.is_blocked() {
            return Verdict::Sent;
        }
        let record = &entry.record;
        if self.is_explained(cause, record) {
            return Verdict::Sent;
        }
        let by_trials = match now < self.trial_at(cause) {
            true => Verdict::Blocked,
            false => Verdict::Held,
        };
        if record.is_segment || record.has_crashed_alone() {
            return by_trials;
        }
        let is_settling = now < entry.updated_at + SETTLING_MS;
        let is_suspected_more = |name: &Fingerprint, other: &CrashRecord| {
            let shared = record.shared_crashes(other);
            let unshared = record.counted_crashes() - shared.len();
            let is_weaker = shared.len() >= MIN_RISKY_CRASHES
                && unshared <= MAX_UNSHARED
                && (other.is_segment
                    || record.is_weaker_than(other, &shared)
                    || (name < cause && record.is_tied_with(other, &shared)));
            // Reports may still show that the other one was at the rest of these crashes.
            let may_be_weaker = !shared.is_empty() && unshared > 0;
            match is_settling {
                true => is_weaker || may_be_weaker,
                false => is_weaker && other.is_blocked(),
            }
        };
        let mut others = self.records.iter().filter(|(other, _)| *other != cause);
        match others.any(|(name, e)| is_suspected_more(name, &e.record)) {
            false => by_trials,
            true if is_settling => Verdict::Unsettled,
            true => Verdict::Held,
        }
    }

    /// Time at which a cause may be tried, if it isn't sent otherwise.
    pub fn trial_at(&self, cause: &Fingerprint) -> Millis {
        let Some(entry) = self.records.get(cause) else {
            return 0;
        };
        let record = &entry.record;
        let delay = TrialDelay {
            trials: record.trials().count() + entry.known_trials,
            is_segment: record.is_segment,
            came_together: self.came_together(record),
            by_chance: self.other_crashes(record) >= MIN_OTHER_CRASHES
                || self.shares_trial(cause, record),
        };
        entry.updated_at + delay.ms()
    }

    /// Time at which a request with several held segments may be tried.
    pub fn joint_trial_at(&self, cause: &Fingerprint) -> Millis {
        let updated_at = self.records.get(cause).map_or(0, |e| e.updated_at);
        updated_at + SINGLE_TRIALS_MS
    }

    /// Whether all counted crashes of a record came together, as far as their times are known.
    fn came_together(&self, record: &CrashRecord) -> bool {
        let times: Vec<_> = record
            .counted()
            .filter_map(|c| self.learnt.get(c))
            .collect();
        let span = times.iter().max().zip(times.iter().min());
        let is_short = span.is_some_and(|(last, first)| **last - **first <= TOGETHER_MS);
        is_short && times.len() == record.counted_crashes()
    }

    /// Number of crashes that aren't in a record and came at about the same time as one that is.
    fn other_crashes(&self, record: &CrashRecord) -> usize {
        let own: Vec<_> = record
            .counted()
            .filter_map(|c| self.learnt.get(c))
            .collect();
        let is_near = |at: &Millis| own.iter().any(|o| o.abs_diff(*at) <= NEAR_MS);
        let others = self
            .learnt
            .iter()
            .filter(|(c, _)| !record.crashes.contains(*c));
        others.filter(|(_, at)| is_near(at)).count()
    }

    /// Whether another risky cause was at a trial of the one that has this record.
    fn shares_trial(&self, cause: &Fingerprint, record: &CrashRecord) -> bool {
        let is_there = |other: &CrashRecord| {
            let mut trials = record.trials();
            trials.any(|c| other.crashes.contains(c) && !other.cleared.contains(c))
        };
        let mut others = self.records.iter().filter(|(other, _)| *other != cause);
        others.any(|(other, e)| is_there(&e.record) && self.is_risky(other))
    }

    /// Other causes that were at crashes which count against a cause, and are risky themselves.
    pub fn sharing(&self, cause: &Fingerprint) -> Vec<Fingerprint> {
        let Some(record) = self.get(cause) else {
            return Vec::new();
        };
        let is_sharing = |(other, e): &(&Fingerprint, &TableEntry)| {
            *other != cause
                && e.record.counted_crashes() >= MIN_RISKY_CRASHES
                && !record.shared_crashes(&e.record).is_empty()
        };
        let sharing = self.records.iter().filter(is_sharing);
        sharing.map(|(other, _)| *other).collect()
    }

    /// The causes with so many crashes that routers refuse or hold requests with them.
    pub fn blocked(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        let blocked = self.records.iter().filter(|(_, e)| e.record.is_blocked());
        blocked.map(|(cause, _)| *cause)
    }

    /// Number of crashes that count against any cause.
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

    /// Adds the crashes and the cleared crashes of a record, of which this router learns now, to that of
    /// a cause; returns whether it has changed.
    pub fn merge(&mut self, now: Millis, cause: Fingerprint, record: &CrashRecord) -> bool {
        for crash in &record.crashes {
            if self.learnt.len() < MAX_LEARNT {
                self.learnt.entry(crash.clone()).or_insert(now);
            }
        }
        self.merge_stored(now, cause, record)
    }

    /// The same for a record that was stored at a time which isn't known.
    pub fn merge_stored(&mut self, now: Millis, cause: Fingerprint, record: &CrashRecord) -> bool {
        let entry = self.records.entry(cause).or_default();
        let changed = entry.record.merge(record);
        // A trial counts also if the record has no room for its crash.
        if changed || !record.alone.is_subset(&entry.record.alone) {
            entry.updated_at = now;
        }
        if entry.record.crashes.is_empty() {
            self.records.remove(&cause);
        }
        self.evict_least();
        changed
    }

    /// Marks all crashes of a cause as cleared; returns whether one of them still counted.
    pub fn clear(&mut self, cause: &Fingerprint) -> bool {
        let entry = self.records.get_mut(cause);
        entry.is_some_and(|e| {
            e.known_trials = 0;
            e.record.clear()
        })
    }

    /// Counts a trial whose crash is known already: its endpoint has crashed before, and the platform
    /// doesn't tell when it started.
    pub fn count_known_trial(&mut self, now: Millis, cause: &Fingerprint) {
        if let Some(entry) = self.records.get_mut(cause) {
            entry.updated_at = now;
            entry.known_trials += 1;
        }
    }

    /// Removes the records that no merge has changed for the retention time.
    pub fn remove_expired(&mut self, now: Millis) {
        self.records
            .retain(|_, e| now < e.updated_at + RETENTION_MS);
        self.learnt.retain(|_, at| now < *at + RETENTION_MS);
    }

    fn evict_least(&mut self) {
        if self.records.len() <= MAX_RECORDS {
            return;
        }
        let fewest =
            |(_, e): &(&Fingerprint, &TableEntry)| (e.record.counted_crashes(), e.updated_at);
        let fewest = self.records.iter().min_by_key(fewest);
        if let Some(cause) = fewest.map(|(cause, _)| *cause) {
            self.records.remove(&cause);
        }
    }
}
