use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;

use super::excerpt::excerpt;
use super::run_direct::log_event;
use crate::logic::LogCode;

/// Most names that are remembered, so that each is logged once.
const MAX_NAMES: usize = 256;

/// Names in the platform's messages that this version doesn't know. Each is logged the first time,
/// and every occurrence is counted.
#[derive(Default)]
pub(super) struct UnknownNames {
    /// Names that were logged, each with the kind of message that it occurs in.
    logged: RefCell<BTreeSet<(&'static str, String)>>,
    occurrences: Cell<u64>,
}

impl UnknownNames {
    /// Counts names that occur in a kind of message, and logs those that are new; `from` tells who
    /// sent the message.
    pub fn record(&self, place: &'static str, names: &[String], from: &str) {
        for name in names {
            if self.is_new(place, name) {
                let name = excerpt(name);
                let why = format!("{name}: unknown {place}, first seen from {from}");
                log_event(LogCode::NameUnknown, &why);
            }
        }
    }

    /// Counts a name; true the first time that it occurs in this kind of message.
    pub fn is_new(&self, place: &'static str, name: &str) -> bool {
        self.occurrences.set(self.occurrences.get() + 1);
        let mut logged = self.logged.borrow_mut();
        logged.len() < MAX_NAMES && logged.insert((place, excerpt(name).to_string()))
    }

    /// Number of different names that were logged, and number of all occurrences.
    pub fn counts(&self) -> (u64, u64) {
        (self.logged.borrow().len() as u64, self.occurrences.get())
    }
}
