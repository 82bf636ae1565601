use std::fmt;

/// One fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFault {
    /// Line in the file; absent for a key that is missing.
    pub line: Option<usize>,
    /// Section and key, such as `[group] lease_ms`.
    pub place: String,
    /// What stands there.
    pub found: String,
    /// What may stand there, with its unit.
    pub expected: String,
}

/// Every fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The file.
    pub file: String,
    /// Its faults, in order of place.
    pub faults: Vec<SettingsFault>,
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}, ")?;
        }
        write!(
            f,
            "{}: found {}, expected {}",
            self.place, self.found, self.expected
        )
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.faults.len();
        let noun = if count == 1 { "fault" } else { "faults" };
        write!(f, "{}: {count} {noun}", self.file)?;
        for fault in &self.faults {
            write!(f, "\n  {fault}")?;
        }
        write!(
            f,
            "\ntry: `runrail check --settings FILE` after each change; samples are in `settings/`"
        )
    }
}

impl std::error::Error for SettingsError {}
