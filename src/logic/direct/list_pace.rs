/// How often the host reads changes of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ListPace {
    /// Not at all: digests of the planner bring the changes.
    Paused,
    /// At long intervals, short enough to notice in time that an endpoint leaves.
    Slow,
    /// At the shortest intervals: for the planner, and for all routers if digests are switched off.
    Fast,
}
