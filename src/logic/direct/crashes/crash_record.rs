use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{Crash, MIN_BLOCKING_CRASHES};
use crate::types::InstanceId;

/// Largest number of crashes that one record holds.
const MAX_CRASHES: usize = 8;

/// The crashes of endpoints that one request, or the requests with one prompt segment, may have caused.
///
/// Sets and ages only grow, so that the records of two routers can be merged by union in any order, as
/// long as they have at most `MAX_CRASHES` crashes together. Beyond that, a crash at which the request was
/// tried alone replaces another one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Crashes of endpoints that ran the request and had sent no event of its answer.
    pub crashes: BTreeSet<Crash>,
    /// Crashes that no longer count, as the request was answered in full afterwards.
    pub cleared: BTreeSet<Crash>,
    /// For each endpoint that crashed, the longest time for which a run of the request had been there,
    /// in milliseconds. Routers of earlier versions don't report it.
    #[serde(default)]
    pub ages: BTreeMap<InstanceId, u32>,
    /// Crashes at which the request was tried alone.
    #[serde(default)]
    pub alone: BTreeSet<Crash>,
    /// Whether the record is of a prompt segment. Routers of earlier versions don't report it: they
    /// never have a request with the fingerprint of a segment.
    #[serde(default)]
    pub is_segment: bool,
}

impl CrashRecord {
    /// Creates a record of one crash.
    pub fn of(crash: Crash) -> Self {
        Self {
            crashes: BTreeSet::from([crash]),
            ..Self::default()
        }
    }

    /// Creates a record of one crash, at which a run of the request had been there for `age_ms`, and was
    /// tried alone if `alone` is true.
    pub fn of_run(crash: Crash, age_ms: u32, alone: bool) -> Self {
        Self {
            ages: BTreeMap::from([(crash.endpoint.clone(), age_ms)]),
            alone: alone.then(|| crash.clone()).into_iter().collect(),
            ..Self::of(crash)
        }
    }

    /// Crashes that count against the request.
    pub fn counted(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.difference(&self.cleared)
    }

    /// Number of crashes that count against the request.
    pub fn counted_crashes(&self) -> usize {
        self.counted().count()
    }

    /// Whether the request was blocked, also if it has been cleared since.
    pub fn was_blocked(&self) -> bool {
        self.crashes.len() >= MIN_BLOCKING_CRASHES
    }

    /// The counted crashes at which another request was as well.
    pub fn shared_crashes(&self, other: &Self) -> Vec<&Crash> {
        let is_shared = |c: &&Crash| other.crashes.contains(*c) && !other.cleared.contains(*c);
        self.counted().filter(is_shared).collect()
    }

    /// Whether the evidence against this request is weaker than that against another one that was at
    /// the same crashes: the other one crashed an endpoint when it was tried alone, or its runs had
    /// been at these endpoints for a shorter time, as endpoints crash soon after they begin it.
    pub fn is_weaker_than(&self, other: &Self, shared: &[&Crash]) -> bool {
        if self.has_crashed_alone() || other.has_crashed_alone() {
            return !self.has_crashed_alone();
        }
        let ages = self.age_at(shared).zip(other.age_at(shared));
        ages.is_some_and(|(own, of_other)| of_other < own)
    }

    /// Whether the evidence against this request and another one that was at the same crashes is equally
    /// strong: their runs had been there for the same time, as those of requests that are sent with one
    /// event.
    pub fn is_tied_with(&self, other: &Self, shared: &[&Crash]) -> bool {
        let ages = self.age_at(shared).zip(other.age_at(shared));
        !self.has_crashed_alone()
            && !other.has_crashed_alone()
            && ages.is_some_and(|(own, of_other)| of_other == own)
    }

    /// Sum of the times for which runs of the request had been at some crashes, if all are known.
    fn age_at(&self, crashes: &[&Crash]) -> Option<u64> {
        let ages = crashes.iter().map(|c| self.ages.get(&c.endpoint));
        ages.map(|age| age.copied().map(u64::from)).sum()
    }

    /// The counted crashes at which the request was tried alone.
    pub fn trials(&self) -> impl Iterator<Item = &Crash> {
        self.alone.difference(&self.cleared)
    }

    /// Whether an endpoint has crashed when the request was tried alone.
    pub fn has_crashed_alone(&self) -> bool {
        self.trials().next().is_some()
    }

    /// Whether routers don't send the request.
    pub fn is_blocked(&self) -> bool {
        self.counted_crashes() >= MIN_BLOCKING_CRASHES
    }

    /// Adds the crashes and the cleared crashes of another record; returns whether this one has
    /// changed.
    pub fn merge(&mut self, other: &Self) -> bool {
        self.is_segment |= other.is_segment;
        let before = self.crashes.len() + self.cleared.len();
        let alone_before = self.alone.len();
        for crash in other.alone.intersection(&other.crashes) {
            if self.crashes.len() >= MAX_CRASHES && !self.crashes.contains(crash) {
                self.drop_weakest();
            }
            if self.crashes.len() < MAX_CRASHES {
                self.crashes.insert(crash.clone());
            }
        }
        for crash in &other.crashes {
            if self.crashes.len() < MAX_CRASHES {
                self.crashes.insert(crash.clone());
            }
        }
        let kept = other.cleared.intersection(&self.crashes).cloned();
        let kept: Vec<_> = kept.collect();
        self.cleared.extend(kept);
        let kept = other.alone.intersection(&self.crashes).cloned();
        let kept: Vec<_> = kept.collect();
        self.alone.extend(kept);
        for (endpoint, age) in &other.ages {
            if self.crashes.iter().any(|c| c.endpoint == *endpoint) {
                let known = self.ages.entry(endpoint.clone()).or_default();
                *known = (*known).max(*age);
            }
        }
        self.crashes.len() + self.cleared.len() > before || self.alone.len() > alone_before
    }

    /// Drops a crash at which the request was not tried alone, if there is one; a cleared one first.
    fn drop_weakest(&mut self) {
        let others = || self.crashes.difference(&self.alone);
        let found = others().find(|c| self.cleared.contains(*c));
        let Some(crash) = found.or_else(|| others().next()).cloned() else {
            return;
        };
        self.crashes.remove(&crash);
        self.cleared.remove(&crash);
        if self.crashes.iter().all(|c| c.endpoint != crash.endpoint) {
            self.ages.remove(&crash.endpoint);
        }
    }

    /// Marks all crashes so far as cleared; returns whether one of them still counted.
    pub fn clear(&mut self) -> bool {
        let any = self.counted_crashes() > 0;
        self.cleared = self.crashes.clone();
        any
    }
}
