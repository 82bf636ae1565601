use std::collections::{BTreeMap, VecDeque};

use crate::logic::direct::Fingerprint;
use crate::types::Millis;

/// Largest number of answers that are kept.
const MAX_ANSWERS: usize = 4_096;

/// Time for which an answer is kept.
pub(super) const RETENTION_MS: Millis = 60_000;

/// Time for which a further answer to the same request isn't recorded.
const REFRESH_MS: Millis = 1_000;

/// Requests that were answered in full recently, or segments of requests whose answers began.
///
/// Callers may send the same harmless request many times a second, so that one of them is in
/// flight at every crash without having caused it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RecentlyServed {
    /// When each request was last answered.
    last: BTreeMap<Fingerprint, Millis>,
    /// All answers kept, the oldest first.
    answers: VecDeque<(Millis, Fingerprint)>,
}

impl RecentlyServed {
    /// Adds an answer, and removes those that are too old or too many.
    pub fn record(&mut self, now: Millis, request: Fingerprint) {
        if self.contains(now, &request, REFRESH_MS) {
            return;
        }
        self.last.insert(request, now);
        self.answers.push_back((now, request));
        while let Some((at, oldest)) = self.answers.front().copied() {
            if self.answers.len() <= MAX_ANSWERS && now < at + RETENTION_MS {
                break;
            }
            self.answers.pop_front();
            if self.last.get(&oldest) == Some(&at) {
                self.last.remove(&oldest);
            }
        }
    }

    /// Whether a request was answered within some time, which is at most the retention time.
    pub fn contains(&self, now: Millis, request: &Fingerprint, within_ms: Millis) -> bool {
        let last = self.last.get(request);
        last.is_some_and(|at| now < at + within_ms)
    }
}
