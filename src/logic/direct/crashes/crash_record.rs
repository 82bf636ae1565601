use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::{Crash, CRASHES};

/// Most crashes that are remembered of one request.
const MOST: usize = 8;

/// What one request has done to endpoints.
///
/// Both sets only grow, so that what two routers know merges by union, in any order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Endpoints that crashed while they had begun it or were about to.
    pub crashes: BTreeSet<Crash>,
    /// Crashes that it is cleared of, as it was answered whole afterwards.
    pub cleared: BTreeSet<Crash>,
}

impl CrashRecord {
    /// A record of one crash.
    pub fn of(crash: Crash) -> Self {
        Self {
            crashes: BTreeSet::from([crash]),
            cleared: BTreeSet::new(),
        }
    }

    /// Crashes that count against the request.
    pub fn suspected(&self) -> usize {
        self.crashes.difference(&self.cleared).count()
    }

    /// Whether the request is refused.
    pub fn blocks(&self) -> bool {
        self.suspected() >= CRASHES
    }

    /// Takes in what another record knows; false where that is nothing new.
    pub fn merge(&mut self, other: &Self) -> bool {
        let known = self.crashes.len() + self.cleared.len();
        for crash in &other.crashes {
            if self.crashes.len() < MOST {
                self.crashes.insert(crash.clone());
            }
        }
        let kept = other.cleared.intersection(&self.crashes).cloned();
        let kept: Vec<_> = kept.collect();
        self.cleared.extend(kept);
        self.crashes.len() + self.cleared.len() > known
    }

    /// Clears the request of all crashes so far; false where there are none.
    pub fn clear(&mut self) -> bool {
        let any = self.suspected() > 0;
        self.cleared = self.crashes.clone();
        any
    }
}
