/// Precedence of a request where not all have room; the first variant goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Precedence {
    /// Its stream has begun and is to be resumed at another endpoint; otherwise the work
    /// spent on it is lost.
    Resumed,
    /// Any other request. One that its caller sends again after a refusal is not told apart:
    /// callers set deadlines of their own, so a short one proves nothing.
    Fresh,
}
