/// Decision about a request that found no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// It waits for room.
    Wait,
    /// It is refused at once: it can't begin within its objective, and its caller can try again.
    Refuse,
}
