/// Whose turn it is where not all requests have room; the first comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Turn {
    /// It has run already and is sent again: what was spent on it is lost otherwise.
    Resumed,
    /// It comes for the first time and can still be answered in time.
    Fresh,
    /// It was refused before and has come back: an answer now earns its caller less
    /// than one in time does.
    Returned,
}
