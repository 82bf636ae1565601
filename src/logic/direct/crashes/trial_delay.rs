use crate::types::Millis;

/// Time from the last crash under a request to its first trial. Until then only copies of that request
/// aren't sent.
const FIRST_MS: Millis = 60_000;

/// The same if its crashes came together: they may have one cause, such as a failure of power.
const FIRST_TOGETHER_MS: Millis = 10_000;

/// Time from a trial that crashed an endpoint to the next one, by the number of such trials. The last one
/// is for all further trials, and shorter than the time for which a record is kept: a cause that is
/// forgotten would crash several endpoints before it is held again.
const NEXT_MS: [Millis; 3] = [20_000, 240_000, 480_000];

/// The same for a segment where chance may explain the crashes: many callers wait for it.
const NEXT_BY_CHANCE_MS: [Millis; 4] = [3_000, 20_000, 240_000, 480_000];

/// What decides when a request or a segment is tried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct TrialDelay {
    /// Trials of it that crashed an endpoint.
    pub trials: usize,
    /// Whether it is a segment, which many requests share: its first trial is due at once.
    pub is_segment: bool,
    /// Whether its crashes came together.
    pub came_together: bool,
    /// Whether endpoints failed without it, so that chance may explain its crashes.
    pub by_chance: bool,
}

impl TrialDelay {
    /// Time from its last crash until it is tried.
    pub fn ms(self) -> Millis {
        let Some(last) = self.trials.checked_sub(1) else {
            return self.first_ms();
        };
        let delays: &[Millis] = match self.is_segment && self.by_chance {
            true => &NEXT_BY_CHANCE_MS,
            false => &NEXT_MS,
        };
        delays[last.min(delays.len() - 1)]
    }

    fn first_ms(self) -> Millis {
        if self.is_segment {
            return 0;
        }
        match (self.came_together, self.by_chance) {
            (true, true) => 0,
            (true, false) => FIRST_TOGETHER_MS,
            (false, _) => FIRST_MS,
        }
    }
}
