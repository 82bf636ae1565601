use super::{ClaimEntry, ClaimStatus};
use std::collections::{BTreeMap, VecDeque};

use crate::message::ClaimKey;
use crate::types::Millis;

/// Claimed keys of requests that may not be repeated, with what is known of each.
///
/// An entry is kept at least until its claim has expired.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ClaimMemory {
    entries: BTreeMap<ClaimKey, ClaimEntry>,
    /// Keys whose answers are kept, the oldest first.
    answered: VecDeque<ClaimKey>,
    /// Size of those answers, in bytes.
    answer_bytes: usize,
}

impl ClaimMemory {
    /// What is known of a key.
    pub fn get(&self, key: &ClaimKey) -> Option<&ClaimEntry> {
        self.entries.get(key)
    }

    /// Stores what is known of a key.
    pub fn put(&mut self, key: ClaimKey, entry: ClaimEntry) {
        self.entries.insert(key, entry);
    }

    /// Changes what is known of a key that is present.
    pub fn set(&mut self, key: &ClaimKey, state: ClaimStatus) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.state = state;
        }
    }

    /// Stores the end of an active key, and evicts the oldest answers beyond `limit` bytes.
    ///
    /// The key of an evicted answer stays, so that the request isn't run again.
    pub fn finish(&mut self, key: &ClaimKey, state: ClaimStatus, limit: usize) {
        if let ClaimStatus::Done {
            text: Some(text), ..
        } = &state
        {
            self.answered.push_back(*key);
            self.answer_bytes += text.len();
        }
        self.set(key, state);
        while self.answer_bytes > limit {
            let Some(oldest) = self.answered.pop_front() else {
                return;
            };
            self.evict_answer(&oldest);
        }
    }

    fn evict_answer(&mut self, key: &ClaimKey) {
        let state = self.entries.get_mut(key).map(|e| &mut e.state);
        if let Some(ClaimStatus::Done { text, .. }) = state {
            self.answer_bytes -= text.take().map_or(0, |t| t.len());
        }
    }

    /// Removes expired entries, except those of requests that wait or run.
    pub fn expire(&mut self, now: Millis) {
        let is_kept = |e: &ClaimEntry| e.until > now || matches!(e.state, ClaimStatus::Active(_));
        let expired: Vec<_> = self
            .answered
            .iter()
            .take_while(|k| !self.entries.get(k).is_some_and(is_kept))
            .copied()
            .collect();
        for key in expired {
            self.answered.pop_front();
            self.evict_answer(&key);
        }
        self.entries.retain(|_, e| is_kept(e));
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
