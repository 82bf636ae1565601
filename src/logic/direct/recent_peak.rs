use std::collections::VecDeque;

use crate::types::Millis;

/// Highest of the values recorded within a sliding window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RecentPeak {
    /// Values with the time at which each was last recorded, oldest first; the values fall.
    values: VecDeque<(Millis, u64)>,
}

impl RecentPeak {
    /// Records a value and drops those older than `span` milliseconds.
    pub fn record(&mut self, now: Millis, span: Millis, value: u64) {
        while self.values.back().is_some_and(|(_, v)| *v <= value) {
            self.values.pop_back();
        }
        self.values.push_back((now, value));
        while self.values.front().is_some_and(|(at, _)| at + span < now) {
            self.values.pop_front();
        }
    }

    /// Highest value; 0 before the first one.
    pub fn highest(&self) -> u64 {
        self.values.front().map_or(0, |(_, v)| *v)
    }
}
