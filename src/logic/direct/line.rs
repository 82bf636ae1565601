use std::collections::{BTreeSet, VecDeque};

use super::Turn;
use crate::types::Millis;

/// Length of one slot of the window that is counted in.
const SLOT_MS: Millis = 500;

/// Slots of that window, four seconds in all: longer than a group takes to form anew, so
/// that a line doesn't close while that happens, and shorter than callers wait.
const SLOTS: u64 = 8;

/// Requests that may wait however few were sent lately.
const LEAST: u64 = 4;

/// Late requests that must have got an endpoint for each that waited in vain. At one a
/// fleet that is short all day kept callers waiting for refusals; with two and four the
/// same days were within luck of each other.
const SERVED_A_VAIN: u64 = 4;

/// Served ones that are added to what was seen, so that a line is open at first.
const FORGIVEN: u64 = 2;

/// What one slot has counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Counts {
    /// Number of the slot.
    slot: u64,
    /// Requests that were sent to an endpoint.
    sent: u64,
    /// Late requests whose wait ended with an endpoint.
    served: u64,
    /// Late requests whose wait ended with a refusal.
    vain: u64,
}

/// Requests of one route and model that wait for an endpoint here.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Line {
    /// Those that wait: by turn and rank, then as they came.
    pub waiting: BTreeSet<(Turn, u8, u64)>,
    /// What was counted lately, the oldest slot first.
    counts: VecDeque<Counts>,
}

impl Line {
    /// Counts a request that was sent to an endpoint; `late` where it had waited until it
    /// was late.
    pub fn sent(&mut self, now: Millis, late: bool) {
        let counts = self.slot(now);
        counts.sent += 1;
        counts.served += u64::from(late);
    }

    /// Counts a late request that waited in vain.
    pub fn refused(&mut self, now: Millis) {
        self.slot(now).vain += 1;
    }

    /// How many may wait here for `hold` milliseconds: as many as were sent within such a
    /// time lately, and a few more. What is beyond that would wait in vain.
    pub fn most(&mut self, now: Millis, hold: Millis) -> u64 {
        LEAST.max(self.sum(now, |c| c.sent) * hold / (SLOTS * SLOT_MS))
    }

    /// Whether nearly all that waited until they were late got an endpoint lately.
    pub fn rewards(&mut self, now: Millis) -> bool {
        let vain = self.sum(now, |c| c.vain);
        self.sum(now, |c| c.served) + FORGIVEN >= SERVED_A_VAIN * vain
    }

    /// Whether anything was sent lately.
    pub fn is_used(&mut self, now: Millis) -> bool {
        self.sum(now, |c| c.sent) > 0
    }

    fn slot(&mut self, now: Millis) -> &mut Counts {
        let slot = now / SLOT_MS;
        if self.counts.back().map(|c| c.slot) != Some(slot) {
            self.counts.push_back(Counts {
                slot,
                ..Counts::default()
            });
        }
        let last = self.counts.len() - 1;
        &mut self.counts[last]
    }

    fn sum(&mut self, now: Millis, of: impl Fn(&Counts) -> u64) -> u64 {
        let oldest = (now / SLOT_MS).saturating_sub(SLOTS - 1);
        while self.counts.front().is_some_and(|c| c.slot < oldest) {
            self.counts.pop_front();
        }
        self.counts.iter().map(of).sum()
    }
}
