/// What the planner knows of one group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Condition {
    /// Takes work.
    Open,
    /// Its leader lives, but it doesn't take work: it loads, or lacks a member.
    Closed,
    /// Its leader has ended it: drained, with nothing in flight.
    Ended,
    /// Its leader can't be reached from here, but a member still grants to it.
    Outlived,
    /// Its leader can't be reached, and no member is known to grant to it.
    Lost,
}
