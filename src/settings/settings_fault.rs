use std::fmt;

/// One fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFault {
    /// Line in the file; none for a missing key.
    pub line: Option<usize>,
    /// Section and key, such as `[group] lease_ms`.
    pub place: String,
    /// What the file holds there.
    pub found: String,
    /// What is allowed there, with its unit.
    pub expected: String,
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
