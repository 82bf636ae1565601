use std::collections::VecDeque;

use crate::types::Millis;

/// Highest value of a number over a sliding span.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RecentPeak {
    /// When each value was last seen; the values fall.
    values: VecDeque<(Millis, u64)>,
}

impl RecentPeak {
    /// Takes a value in and forgets what is older than the span.
    pub fn record(&mut self, now: Millis, span: Millis, value: u64) {
        while self.values.back().is_some_and(|(_, v)| *v <= value) {
            self.values.pop_back();
        }
        self.values.push_back((now, value));
        while self.values.front().is_some_and(|(at, _)| at + span < now) {
            self.values.pop_front();
        }
    }

    /// The highest value; 0 before the first one.
    pub fn highest(&self) -> u64 {
        self.values.front().map_or(0, |(_, v)| *v)
    }
}
