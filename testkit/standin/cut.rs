/// Where a replica breaks a stream off, by closing its connection without an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Before the first byte of the body.
    Empty,
    /// Within the event after so many whole ones.
    Inside(u64),
}
