use crate::types::Millis;

/// A refused caller comes back within its remaining time divided by this.
const LEFT_DIVISOR: Millis = 3;

/// Longest time after which a caller is told to come back; forecasts don't reach further.
const MAX_AHEAD_MS: Millis = 10_000;

/// Callers without a free slot are spread over at least the longest time divided by this.
const SPREAD_DIVISOR: Millis = 4;

/// Resolution of random parts of a time.
const JITTER_STEPS: u64 = 1_000;

/// Bounds of the time after which a refused caller is told to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReturnBounds {
    /// Usual shortest time.
    pub min: Millis,
    /// Longest time.
    pub max: Millis,
}

impl ReturnBounds {
    /// Bounds for a caller with `left` milliseconds and an objective of `target`: it comes back within
    /// a third of the time that it has left, and early enough for an answer within the objective.
    pub fn new(left: Millis, target: Millis, min: Millis) -> Self {
        let max = left / LEFT_DIVISOR;
        let max = max.min(left.saturating_sub(target)).min(MAX_AHEAD_MS);
        Self {
            min: min.min(max),
            max,
        }
    }

    /// A time in the later half between the bounds, by a random number. It is not before `expected`,
    /// but leaves a quarter of the longest time to spread callers over; and never before `held`, at which
    /// the first endpoint ends its hold-off, unless that is later than the longest time.
    pub fn late_time(&self, expected: Millis, held: Millis, random: u64) -> Millis {
        let half = self.min + (self.max - self.min) / 2;
        let from = expected.min(self.max - self.max / SPREAD_DIVISOR).max(half);
        let from = from.max(held.min(self.max));
        from + (self.max - from) * (random % JITTER_STEPS) / JITTER_STEPS
    }
}
