use super::{OnceEntry, OnceState};
use std::collections::{BTreeMap, VecDeque};

use crate::message::ClaimKey;
use crate::types::Millis;

/// Keys of requests that may not be repeated, as long as their claims live.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct OnceMemory {
    entries: BTreeMap<ClaimKey, OnceEntry>,
    /// Keys whose answers are kept, oldest first.
    kept: VecDeque<ClaimKey>,
    /// Bytes of those answers.
    bytes: usize,
}

impl OnceMemory {
    /// Looks a key up.
    pub fn get(&self, key: &ClaimKey) -> Option<&OnceEntry> {
        self.entries.get(key)
    }

    /// Stores what is known of a key.
    pub fn put(&mut self, key: ClaimKey, entry: OnceEntry) {
        self.entries.insert(key, entry);
    }

    /// Changes what is known of a key that is present.
    pub fn set(&mut self, key: &ClaimKey, state: OnceState) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.state = state;
        }
    }

    /// Stores the end of an active key, and drops the oldest answers beyond `limit` bytes.
    ///
    /// A dropped answer leaves the knowledge that the request has run.
    pub fn done(&mut self, key: &ClaimKey, state: OnceState, limit: usize) {
        if let OnceState::Done {
            text: Some(text), ..
        } = &state
        {
            self.kept.push_back(*key);
            self.bytes += text.len();
        }
        self.set(key, state);
        while self.bytes > limit {
            let Some(oldest) = self.kept.pop_front() else {
                return;
            };
            self.drop_answer(&oldest);
        }
    }

    fn drop_answer(&mut self, key: &ClaimKey) {
        let state = self.entries.get_mut(key).map(|e| &mut e.state);
        if let Some(OnceState::Done { text, .. }) = state {
            self.bytes -= text.take().map_or(0, |t| t.len());
        }
    }

    /// Drops entries whose claims no longer exist.
    pub fn expire(&mut self, now: Millis) {
        let kept = |e: &OnceEntry| e.until > now || matches!(e.state, OnceState::Active(_));
        let over: Vec<_> = self
            .kept
            .iter()
            .take_while(|k| !self.entries.get(k).is_some_and(kept))
            .copied()
            .collect();
        for key in over {
            self.kept.pop_front();
            self.drop_answer(&key);
        }
        self.entries.retain(|_, e| kept(e));
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
