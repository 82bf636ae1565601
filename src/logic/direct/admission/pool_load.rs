use std::collections::VecDeque;

use crate::types::Millis;

/// Time for which a late or refused request counts as contention.
const CONTENTION_MS: Millis = 1_000;

/// Length of one slot of the window in which sends are counted, and their number: 1 s in all.
const SLOT_MS: Millis = 100;
const SLOTS: u64 = 10;

/// The mean duration of runs moves towards each one by the difference divided by this.
const DURATION_DIVISOR: u64 = 8;

/// Load of a capacity pool: how fast requests are sent there, and whether they contend for room.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PoolLoad {
    /// Sends by slot, the oldest first.
    sent: VecDeque<(u64, u64)>,
    /// When requests last became late or were refused for lack of room, and which: the last two.
    marks: [Option<(Millis, u64)>; 2],
    /// Mean duration of runs there; 0 before the first one ended.
    duration: Millis,
    /// Runs of this router there.
    running: u64,
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

    /// Handles a run that has ended with a complete answer after `took` milliseconds.
    pub fn on_run_completed(&mut self, took: Millis) {
        let mean = self.duration;
        self.duration = if mean == 0 {
            took
        } else {
            (mean * (DURATION_DIVISOR - 1) + took) / DURATION_DIVISOR
        };
    }

    /// Sets the number of runs of this router at endpoints of the pool that answer.
    pub fn set_running(&mut self, running: u64) {
        self.running = running;
    }

    /// Time until a request is sent that has `ahead` others before it; none if nothing is being
    /// sent. The rate is that of the last second, or that at which runs end by their mean duration,
    /// whichever is higher: few were sent in a second that began with little demand.
    pub fn send_delay(&self, now: Millis, ahead: u64) -> Option<Millis> {
        let by_sends = self.delay_by_sends(now, ahead);
        let by_ends = match self.duration {
            0 => None,
            duration => ((ahead + 1) * duration).checked_div(self.running),
        };
        by_sends.into_iter().chain(by_ends).min()
    }

    fn delay_by_sends(&self, now: Millis, ahead: u64) -> Option<Millis> {
        let oldest = (now / SLOT_MS).saturating_sub(SLOTS - 1);
        let recent = self.sent.iter().filter(|(slot, _)| *slot >= oldest);
        let sent: u64 = recent.map(|(_, count)| count).sum();
        ((ahead + 1) * SLOTS * SLOT_MS).checked_div(sent)
    }
}

fn is_recent((at, _): &(Millis, u64), now: Millis) -> bool {
    now < at + CONTENTION_MS
}
