/// What becomes of the connection after bytes that were sent in place of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutEnd {
    /// It is closed.
    Close,
    /// It is reset.
    Reset,
    /// It stays open.
    Open,
}
