/// Whose turn it is where not all requests have room; the first comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Turn {
    /// Its stream has begun and is taken up elsewhere: what was spent on it is lost
    /// otherwise.
    Resumed,
    /// It hasn't run. One that was refused before and has come back looks like any other:
    /// callers set times of their own, so that a short one tells nothing.
    Fresh,
}
