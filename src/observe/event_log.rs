use super::LoggedEvent;
use std::collections::VecDeque;

use crate::logic::LogEvent;
use crate::types::Millis;

/// Maximum number of log events that are kept for `explain`.
const MAX_KEPT: usize = 4_096;

/// Writes log events to the log and keeps the latest ones for `explain`.
#[derive(Debug, Default)]
pub struct EventLog {
    kept: VecDeque<LoggedEvent>,
}

impl EventLog {
    /// Writes a log event. Events of the levels info, warn and error are kept, and those of any
    /// level whose titles begin with `request`.
    pub fn write(&mut self, now: Millis, event: &LogEvent) {
        log::log!(target: "runrail", event.code.level(), "{event}");
        if event.code.level() > log::Level::Info && !event.code.title().starts_with("request") {
            return;
        }
        if self.kept.len() >= MAX_KEPT {
            self.kept.pop_front();
        }
        self.kept.push_back(LoggedEvent {
            at_ms: now,
            number: event.code.number(),
            text: event.to_string(),
            about: event.fields.iter().map(|(_, v)| v.clone()).collect(),
        });
    }

    /// The kept events of which a field is the subject or a list with it, oldest first; all
    /// events for an empty subject.
    pub fn about(&self, subject: &str) -> Vec<LoggedEvent> {
        let mentions = |n: &&LoggedEvent| {
            subject.is_empty()
                || n.about
                    .iter()
                    .any(|v| v.split(',').any(|part| part.trim() == subject))
        };
        self.kept.iter().filter(mentions).cloned().collect()
    }
}
