use std::collections::{BTreeSet, VecDeque};

use super::Precedence;
use crate::types::Millis;

/// Length of one slot of the counting window.
const SLOT_MS: Millis = 500;

/// Slots of the window, 4 s in all: longer than a group takes to form again, so that the
/// queue still takes requests meanwhile, and shorter than callers wait.
const SLOTS: u64 = 8;

/// Requests that may wait even if fewer were sent recently.
const MIN_WAITING: u64 = 4;

/// Late requests that must have got an endpoint for each one that was refused. With 1,
/// callers of a fleet that was short of capacity all day waited only to be refused.
const SERVED_PER_REFUSED: u64 = 4;

/// Added to the served requests, so that a new queue takes requests.
const INITIAL_SERVED: u64 = 2;

/// Counts of one slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Counts {
    /// Number of the slot.
    slot: u64,
    /// Requests that were sent to an endpoint.
    sent: u64,
    /// Late requests whose wait ended with an endpoint.
    served: u64,
    /// Late requests whose wait ended with a refusal.
    refused: u64,
}

/// Wait queue: requests of one service, model and route that wait for an endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct WaitQueue {
    /// Waiting requests by precedence, priority and id; ids follow the order of arrival.
    pub waiting: BTreeSet<(Precedence, u8, u64)>,
    /// Slots of the window, the oldest first.
    counts: VecDeque<Counts>,
}

impl WaitQueue {
    /// Counts a request that was sent to an endpoint; `late` if it was late by then.
    pub fn on_sent(&mut self, now: Millis, late: bool) {
        let counts = self.slot(now);
        counts.sent += 1;
        counts.served += u64::from(late);
    }

    /// Counts a late request that was refused.
    pub fn on_refused(&mut self, now: Millis) {
        self.slot(now).refused += 1;
    }

    /// How many requests may wait for `wait` milliseconds: as many as are sent within that
    /// time at the recent rate, but at least a few. More would wait in vain.
    pub fn max_waiting(&mut self, now: Millis, wait: Millis) -> u64 {
        MIN_WAITING.max(self.total(now, |c| c.sent) * wait / (SLOTS * SLOT_MS))
    }

    /// How many requests wait whose stream hasn't begun. The others are few, go first, and may have to
    /// wait for the retry budget, which takes no place from anyone.
    pub fn waiting_fresh(&self) -> u64 {
        self.waiting.range((Precedence::Fresh, 0, 0)..).count() as u64
    }

    /// Whether waiting is effective: nearly all requests that waited until they were late
    /// recently got an endpoint.
    pub fn is_effective(&mut self, now: Millis) -> bool {
        let refused = self.total(now, |c| c.refused);
        self.total(now, |c| c.served) + INITIAL_SERVED >= SERVED_PER_REFUSED * refused
    }

    /// Whether any request of this queue was sent within the window.
    pub fn has_sent(&mut self, now: Millis) -> bool {
        self.total(now, |c| c.sent) > 0
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

    fn total(&mut self, now: Millis, of: impl Fn(&Counts) -> u64) -> u64 {
        let oldest = (now / SLOT_MS).saturating_sub(SLOTS - 1);
        while self.counts.front().is_some_and(|c| c.slot < oldest) {
            self.counts.pop_front();
        }
        self.counts.iter().map(of).sum()
    }
}
