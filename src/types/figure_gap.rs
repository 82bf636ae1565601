use std::fmt;

/// A figure that the operators' document doesn't tell, and what stands in for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FigureGap {
    /// Where it belongs in the document.
    pub place: String,
    /// What was found there.
    pub found: String,
    /// What is used in its place.
    pub used: String,
}

impl fmt::Display for FigureGap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { place, found, used } = self;
        write!(f, "{place}: found {found}, {used} is used")
    }
}
