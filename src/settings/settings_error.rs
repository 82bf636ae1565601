use super::SettingsFault;
use std::fmt;

/// All faults of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Path of the file.
    pub file: String,
    /// Its faults in order of lines; those without a line come last.
    pub faults: Vec<SettingsFault>,
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
