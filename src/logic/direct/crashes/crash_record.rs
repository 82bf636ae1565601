use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::{Crash, MIN_BLOCKING_CRASHES};

/// Largest number of crashes that one record holds.
const MAX_CRASHES: usize = 8;

/// The crashes of endpoints that one request may have caused.
///
/// Both sets only grow, so that the records of two routers can be merged by union in any order, as
/// long as they have at most `MAX_CRASHES` crashes together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Crashes of endpoints that ran the request and had sent no event of its answer.
    pub crashes: BTreeSet<Crash>,
    /// Crashes that no longer count, as the request was answered in full afterwards.
    pub cleared: BTreeSet<Crash>,
}

impl CrashRecord {
    /// Creates a record of one crash.
    pub fn of(crash: Crash) -> Self {
        Self {
            crashes: BTreeSet::from([crash]),
            cleared: BTreeSet::new(),
        }
    }

    /// Number of crashes that count against the request.
    pub fn counted_crashes(&self) -> usize {
        self.crashes.difference(&self.cleared).count()
    }

    /// Whether routers refuse the request.
    pub fn is_blocked(&self) -> bool {
        self.counted_crashes() >= MIN_BLOCKING_CRASHES
    }

    /// Adds the crashes and the cleared crashes of another record; returns whether this one has
    /// changed.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = self.crashes.len() + self.cleared.len();
        for crash in &other.crashes {
            if self.crashes.len() < MAX_CRASHES {
                self.crashes.insert(crash.clone());
            }
        }
        let kept = other.cleared.intersection(&self.crashes).cloned();
        let kept: Vec<_> = kept.collect();
        self.cleared.extend(kept);
        self.crashes.len() + self.cleared.len() > before
    }

    /// Marks all crashes so far as cleared; returns whether one of them still counted.
    pub fn clear(&mut self) -> bool {
        let any = self.counted_crashes() > 0;
        self.cleared = self.crashes.clone();
        any
    }
}
