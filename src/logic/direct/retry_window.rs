use std::collections::VecDeque;

use super::RetryBounds;
use crate::types::Millis;

/// Slots of a window.
const SLOTS: u64 = 10;

/// Fewest routers that the fixed number is divided by. If there are fewer, the rest is kept
/// for routers that this one doesn't know yet.
const MIN_ROUTERS: u64 = 16;

/// Requests and retries of one service in a sliding window.
///
/// All routers together may retry a share of the requests and a fixed number on top. Each
/// router keeps to that share of its own requests and to an even part of the fixed number,
/// so that no router has to ask the others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RetryWindow {
    slots: VecDeque<Slot>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Slot {
    at: u64,
    requests: u64,
    retries: u64,
}

impl RetryWindow {
    /// Counts a request.
    pub fn record_request(&mut self, now: Millis, window: Millis) {
        self.slot(now, window).requests += 1;
    }

    /// Counts a retry if the budget allows it; false if it doesn't.
    pub fn try_retry(&mut self, now: Millis, bounds: &RetryBounds) -> bool {
        self.slot(now, bounds.window);
        let (requests, retries) = self.counts();
        let part = bounds.extra_per_mille / bounds.routers.max(MIN_ROUTERS);
        let allowed = requests * bounds.ratio_per_mille + part;
        let paid = (retries + 1) * 1_000 <= allowed;
        if paid {
            self.slot(now, bounds.window).retries += 1;
        }
        paid
    }

    /// Requests and retries in the window. The oldest slot lies only partly in the window: its
    /// retries still count and its requests don't, which errs on the safe side.
    pub fn counts(&self) -> (u64, u64) {
        let newest = self.slots.back().map_or(0, |s| s.at);
        let inside = self.slots.iter().filter(|s| s.at + SLOTS > newest);
        let requests = inside.map(|s| s.requests).sum();
        let retries = self.slots.iter().map(|s| s.retries).sum();
        (requests, retries)
    }

    fn slot(&mut self, now: Millis, window: Millis) -> &mut Slot {
        let at = now * SLOTS / window.max(1);
        self.slots.retain(|s| s.at + SLOTS >= at);
        if self.slots.back().map(|s| s.at) != Some(at) {
            self.slots.push_back(Slot {
                at,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }
}
