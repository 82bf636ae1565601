use super::LoggedNote;
use std::collections::VecDeque;

use crate::logic::Note;
use crate::types::Millis;

/// Events kept for `explain`.
const KEPT: usize = 4_096;

/// Writes notes to the log and keeps the latest for `explain`.
#[derive(Debug, Default)]
pub struct EventLog {
    kept: VecDeque<LoggedNote>,
}

impl EventLog {
    /// Writes a note.
    pub fn write(&mut self, now: Millis, note: &Note) {
        log::log!(target: "runrail", note.code.level(), "{note}");
        if note.code.level() > log::Level::Info && !note.code.title().starts_with("request") {
            return;
        }
        if self.kept.len() >= KEPT {
            self.kept.pop_front();
        }
        self.kept.push_back(LoggedNote {
            at_ms: now,
            number: note.code.number(),
            text: note.to_string(),
            about: note.fields.iter().map(|(_, v)| v.clone()).collect(),
        });
    }

    /// The kept events that mention a subject, oldest first; all for an empty one.
    pub fn about(&self, subject: &str) -> Vec<LoggedNote> {
        let hit = |n: &&LoggedNote| {
            subject.is_empty()
                || n.about
                    .iter()
                    .any(|v| v.split(',').any(|part| part.trim() == subject))
        };
        self.kept.iter().filter(hit).cloned().collect()
    }
}
