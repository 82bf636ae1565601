use std::collections::VecDeque;

use crate::types::Millis;

/// Time for which a late or refused request counts as contention.
const CONTENTION_MS: Millis = 1_000;

/// Length of one slot of the window in which sends are counted, and their number: 1 s in all.
const SLOT_MS: Millis = 100;
const SLOTS: u64 = 10;

/// Load of a capacity pool: how fast requests are sent there, and whether they contend for room.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PoolLoad {
    /// Sends by slot, the oldest first.
    sent: VecDeque<(u64, u64)>,
    /// When requests last became late or were refused for lack of room, and which: the last two.
    marks: [Option<(Millis, u64)>; 2],
}

impl PoolLoad {
    /// Counts a request that was sent to an endpoint of the pool.
    pub fn on_sent(&mut self, now: Millis) {
        let slot = now / SLOT_MS;
        match self.sent.back_mut().filter(|(last, _)| *last == slot) {
            Some((_, count)) => *count += 1,
            None => self.sent.push_back((slot, 1)),
        }
        while self.sent.front().is_some_and(|(s, _)| s + SLOTS <= slot) {
            self.sent.pop_front();
        }
    }

    /// Records that a request became late or was refused for lack of room.
    pub fn on_contention(&mut self, now: Millis, id: u64) {
        if let Some((at, _)) = self.marks[0].as_mut().filter(|(_, last)| *last == id) {
            *at = now;
        } else {
            self.marks = [Some((now, id)), self.marks[0]];
        }
    }

    /// Whether requests contend for the pool: one became late or was refused within the last
    /// second.
    pub fn is_contended(&self, now: Millis) -> bool {
        self.marks.iter().flatten().any(|mark| is_recent(mark, now))
    }

    /// The same for one request, which is no contention for itself.
    pub fn is_contended_for(&self, now: Millis, id: u64) -> bool {
        let others = self.marks.iter().flatten().filter(|(_, by)| *by != id);
        others.into_iter().any(|mark| is_recent(mark, now))
    }

    /// Time until a request is sent that has `ahead` others before it, at the rate of the last
    /// second; none if nothing was sent.
    pub fn send_delay(&self, now: Millis, ahead: u64) -> Option<Millis> {
        let oldest = (now / SLOT_MS).saturating_sub(SLOTS - 1);
        let recent = self.sent.iter().filter(|(slot, _)| *slot >= oldest);
        let sent: u64 = recent.map(|(_, count)| count).sum();
        ((ahead + 1) * SLOTS * SLOT_MS).checked_div(sent)
    }
}

fn is_recent((at, _): &(Millis, u64), now: Millis) -> bool {
    now < at + CONTENTION_MS
}
