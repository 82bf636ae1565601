use std::fmt;

/// A violation that a check has found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Name of the check: what must hold.
    pub check: &'static str,
    /// What was seen instead.
    pub seen: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.check, self.seen)
    }
}
