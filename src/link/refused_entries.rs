use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use super::excerpt::excerpt;
use super::run_direct::log_event;
use crate::logic::LogCode;

/// Most keys whose last error is remembered.
const MAX_KEYS: usize = 256;

/// Entries of the endpoint list that can't be read. Each is logged when it is new or its error has
/// changed, and every one is counted.
#[derive(Default)]
pub(super) struct RefusedEntries {
    /// The last error by key.
    logged: RefCell<BTreeMap<String, String>>,
    count: Cell<u64>,
}

impl RefusedEntries {
    /// Counts an entry that can't be read.
    pub fn record(&self, key: &str, why: &str) {
        self.count.set(self.count.get() + 1);
        let why = excerpt(why);
        let mut logged = self.logged.borrow_mut();
        let is_known = logged.get(key).is_some_and(|known| known == why);
        if !is_known && (logged.len() < MAX_KEYS || logged.contains_key(key)) {
            logged.insert(key.to_string(), why.to_string());
            log_event(LogCode::EntryUnread, why);
        }
    }

    /// Handles a key that was removed or has a valid entry.
    pub fn clear(&self, key: &str) {
        self.logged.borrow_mut().remove(key);
    }

    /// Number of entries that couldn't be read.
    pub fn count(&self) -> u64 {
        self.count.get()
    }
}
