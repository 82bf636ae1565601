use std::collections::BTreeMap;

use crate::message::{ClaimKey, RunId};
use crate::types::Millis;

/// What is remembered of one claimed key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OnceState {
    /// No attempt up to the entry's number has run or ever will.
    Barred,
    /// Waiting or running as this run.
    Active(RunId),
    /// Ended; the text is absent when it was too long to keep.
    Done {
        /// HTTP status.
        status: u16,
        /// Pieces of the answer.
        pieces: u64,
        /// The answer.
        text: Option<String>,
    },
    /// Handed over, outcome unknown.
    Lost,
}

/// Entry of [`OnceMemory`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OnceEntry {
    /// Highest claim attempt this entry speaks for.
    pub attempt: u32,
    /// What is known.
    pub state: OnceState,
    /// Forgotten at this time; the claim itself is gone by then.
    pub until: Millis,
}

/// Keys of requests that may not be repeated, as long as their claims live.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct OnceMemory {
    entries: BTreeMap<ClaimKey, OnceEntry>,
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

    /// Drops entries whose claims no longer exist.
    pub fn expire(&mut self, now: Millis) {
        self.entries
            .retain(|_, e| e.until > now || matches!(e.state, OnceState::Active(_)));
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
