use std::time::Instant;

use super::Clock;
use crate::types::Millis;

/// Shortest suspension that is told; less is the difference between two clocks.
const SHORTEST_MS: Millis = 100;

/// Finds out that the machine was suspended: the clock of the process has gone on and the
/// one that timers stand on hasn't.
#[derive(Clone, Copy, Debug)]
pub struct Suspension {
    clock: Clock,
    start: Instant,
    /// What is known of so far.
    told: Millis,
}

impl Suspension {
    /// Watches a clock from now on.
    pub fn of(clock: Clock) -> Self {
        Self {
            clock,
            start: Instant::now(),
            told: clock.now(),
        }
    }

    /// How long the machine was suspended since the last call, if it was.
    pub fn passed(&mut self) -> Option<Millis> {
        let awake = self.start.elapsed().as_millis() as Millis;
        self.passed_at(self.clock.now(), awake)
    }

    /// The same for a time of the process and the time for which it was awake.
    pub fn passed_at(&mut self, now: Millis, awake: Millis) -> Option<Millis> {
        let asleep = now.saturating_sub(awake);
        let passed = asleep.saturating_sub(self.told);
        if passed < SHORTEST_MS {
            return None;
        }
        self.told = asleep;
        Some(passed)
    }
}
