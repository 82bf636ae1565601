use std::collections::{BTreeMap, VecDeque};

use crate::logic::direct::Fingerprint;
use crate::types::Millis;

/// Most answers that are remembered.
const MOST: usize = 4_096;

/// Time for which an answer is remembered.
const REMEMBERED_MS: Millis = 60_000;

/// Requests that were answered whole lately.
///
/// Callers may send the same harmless request many times a second, so that some of it is at
/// work at every crash.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RecentlyServed {
    /// When each was last answered.
    last: BTreeMap<Fingerprint, Millis>,
    /// Answers, the oldest first.
    answers: VecDeque<(Millis, Fingerprint)>,
}

impl RecentlyServed {
    /// Remembers an answer.
    pub fn record(&mut self, now: Millis, request: Fingerprint) {
        self.last.insert(request, now);
        self.answers.push_back((now, request));
        while let Some((at, oldest)) = self.answers.front().copied() {
            if self.answers.len() <= MOST && now < at + REMEMBERED_MS {
                break;
            }
            self.answers.pop_front();
            if self.last.get(&oldest) == Some(&at) {
                self.last.remove(&oldest);
            }
        }
    }

    /// Whether a request was answered lately.
    pub fn contains(&self, now: Millis, request: &Fingerprint) -> bool {
        let last = self.last.get(request);
        last.is_some_and(|at| now < at + REMEMBERED_MS)
    }
}
