use std::collections::VecDeque;

use crate::types::Millis;

/// Length of one slot of the window.
const SLOT_MS: Millis = 250;

/// Slots of the window, 2 s in all.
const SLOTS: u64 = 8;

/// Time of endpoints in the window from which on the rate is computed; over less, a few requests
/// that happen to come together would count as a high rate.
const MIN_ENDPOINT_MS: u64 = 500;

/// Sums of one slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Sums {
    /// Number of the slot.
    slot: u64,
    /// Requests that were sent in time.
    sent: u64,
    /// Time for which endpoints of the pool took requests, summed up over them.
    endpoint_ms: u64,
}

/// Rate at which this router sends requests in time to one endpoint of a pool, over the last 2 s.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct SendRate {
    /// Slots of the window, the oldest first.
    slots: VecDeque<Sums>,
    /// The last known rate, in thousandths of a request a second.
    last: Option<u64>,
    /// When a request was last sent.
    pub(super) sent_at: Millis,
}

impl SendRate {
    /// Counts a request that was sent in time.
    pub fn on_sent(&mut self, now: Millis) {
        self.sent_at = now;
        self.slot(now).sent += 1;
    }

    /// Records that so many endpoints took requests for the last `ms` milliseconds.
    pub fn record_endpoints(&mut self, now: Millis, endpoints: u64, ms: Millis) {
        self.slot(now).endpoint_ms += endpoints * ms;
        self.last = self.measured(now).or(self.last);
    }

    /// Requests a second at one endpoint, in thousandths: over the window, or as last known while
    /// nothing was sent there in time; none if that was never known.
    pub fn per_endpoint(&self, now: Millis) -> Option<u64> {
        self.measured(now).or(self.last)
    }

    fn measured(&self, now: Millis) -> Option<u64> {
        let oldest = (now / SLOT_MS).saturating_sub(SLOTS - 1);
        let recent = self.slots.iter().filter(|s| s.slot >= oldest);
        let (sent, ms) = recent.fold((0, 0), |(sent, ms), s| (sent + s.sent, ms + s.endpoint_ms));
        let is_known = sent > 0 && ms >= MIN_ENDPOINT_MS;
        is_known.then(|| sent * 1_000_000 / ms)
    }

    fn slot(&mut self, now: Millis) -> &mut Sums {
        let slot = now / SLOT_MS;
        if self.slots.back().map(|s| s.slot) != Some(slot) {
            let sums = Sums {
                slot,
                ..Sums::default()
            };
            self.slots.push_back(sums);
            while self.slots.len() as u64 > SLOTS {
                self.slots.pop_front();
            }
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }
}
