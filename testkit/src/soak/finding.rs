use std::fmt;

/// Something that must not be and was seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Which promise it breaks.
    pub check: &'static str,
    /// What was seen.
    pub seen: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.check, self.seen)
    }
}
