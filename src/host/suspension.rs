use std::time::Instant;

use super::Clock;
use crate::types::Millis;

/// Shortest suspension that is reported; less may be inaccuracy between the two clocks.
const MIN_SUSPENSION_MS: Millis = 100;

/// Detects suspensions of the machine: the clock of the process advances in them, the clock of
/// timers doesn't.
#[derive(Clone, Copy, Debug)]
pub struct SuspensionDetector {
    clock: Clock,
    start: Instant,
    /// Difference between the two clocks at the last reported suspension, or at the start.
    reported: Millis,
}

impl SuspensionDetector {
    /// Starts to detect suspensions, with the clock of the process.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            start: Instant::now(),
            reported: clock.now(),
        }
    }

    /// Milliseconds for which the machine was suspended since the last suspension reported, if
    /// it was.
    pub fn detect(&mut self) -> Option<Millis> {
        let awake = self.start.elapsed().as_millis() as Millis;
        self.detect_at(self.clock.now(), awake)
    }

    /// The same for given times: `now` on the clock of the process, and the milliseconds since
    /// the start on the clock of timers.
    pub fn detect_at(&mut self, now: Millis, awake: Millis) -> Option<Millis> {
        let total = now.saturating_sub(awake);
        let suspended = total.saturating_sub(self.reported);
        if suspended < MIN_SUSPENSION_MS {
            return None;
        }
        self.reported = total;
        Some(suspended)
    }
}
