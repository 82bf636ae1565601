use super::SettingsFault;
use std::fmt;

/// Every fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The file.
    pub file: String,
    /// Its faults, in order of place.
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
