use std::fmt;

/// A value that the operators' document lacks, and the default used instead.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MissingValue {
    /// Path of the value in the document.
    pub place: String,
    /// What was found at that path.
    pub found: String,
    /// Value that is used instead.
    pub used: String,
}

impl fmt::Display for MissingValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { place, found, used } = self;
        write!(f, "{place}: found {found}, {used} is used")
    }
}
