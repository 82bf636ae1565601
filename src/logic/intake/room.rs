/// Whether there is memory for more bytes of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Room {
    /// There is, once these connections have been closed.
    Taken(Vec<u64>),
    /// There is none.
    Full,
}
