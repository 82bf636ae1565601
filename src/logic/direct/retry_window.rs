use std::collections::VecDeque;

use crate::types::Millis;

/// Slots that a window is counted in.
const SLOTS: u64 = 10;

/// Requests and retries of one service over a sliding span.
///
/// All routers together may retry a share of the requests and a fixed number beside.
/// Each router keeps to the share of its own requests and to its even part of the
/// number, so that none has to ask the others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RetryWindow {
    slots: VecDeque<(u64, u64, u64)>,
}

/// Fewest routers that the fixed number is divided by: with fewer, some stay in reserve
/// for routers that this one hasn't heard of yet.
const LEAST_PARTS: u64 = 16;

impl RetryWindow {
    /// Counts a request.
    pub fn request(&mut self, now: Millis, window: Millis) {
        self.slot(now, window).1 += 1;
    }

    /// Pays for a retry, where there is room. `ratio` is retries for a thousand
    /// requests, `extra` thousandths of retries of all `routers` together.
    pub fn retry(
        &mut self,
        now: Millis,
        window: Millis,
        ratio: u64,
        extra: u64,
        routers: u64,
    ) -> bool {
        self.slot(now, window);
        let (requests, retries) = self.counts();
        let part = extra / routers.max(LEAST_PARTS);
        let paid = (retries + 1) * 1_000 <= requests * ratio + part;
        if paid {
            self.slot(now, window).2 += 1;
        }
        paid
    }

    /// Requests and retries in the window.
    pub fn counts(&self) -> (u64, u64) {
        let requests = self.slots.iter().map(|s| s.1).sum();
        let retries = self.slots.iter().map(|s| s.2).sum();
        (requests, retries)
    }

    fn slot(&mut self, now: Millis, window: Millis) -> &mut (u64, u64, u64) {
        let at = now * SLOTS / window.max(1);
        self.slots.retain(|s| s.0 + SLOTS > at);
        if self.slots.back().map(|s| s.0) != Some(at) {
            self.slots.push_back((at, 0, 0));
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }
}
