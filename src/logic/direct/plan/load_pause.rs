use crate::types::Millis;

/// Pause after the first failed order to load, in milliseconds: about as long as two probes take.
const FIRST_PAUSE_MS: Millis = 1_000;

/// Longest pause, in milliseconds: a load of a large model takes less.
const MAX_PAUSE_MS: Millis = 32_000;

/// Pause of an endpoint that has failed to carry out orders to load.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LoadPause {
    /// Consecutive orders that failed.
    failures: u32,
    /// Until when it gets no further one.
    pub until: Millis,
}

impl LoadPause {
    /// Counts a failed order: each further pause is twice as long.
    pub fn on_failure(&mut self, now: Millis) {
        let pause = FIRST_PAUSE_MS << self.failures.min(MAX_PAUSE_MS.ilog2());
        self.until = now + pause.min(MAX_PAUSE_MS);
        self.failures = self.failures.saturating_add(1);
    }
}
