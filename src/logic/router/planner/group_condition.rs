/// State of one group as the planner sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum GroupCondition {
    /// Accepts requests.
    Open,
    /// Its leader has reported, but the group accepts no requests: it loads, drains or lacks a
    /// member.
    Closed,
    /// Its leader doesn't lead it any more, after a drain or the loss of a member; nothing is in
    /// flight.
    Ended,
    /// Its leader can't be reached from here, but another member still grants its presence to it.
    LeaderUnreachable,
    /// Its leader can't be reached, and no other member is known to grant its presence to it.
    Unreachable,
}
