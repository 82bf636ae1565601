/// How often changes of the list are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ListPace {
    /// Not at all: the planner tells what changes.
    Told,
    /// Now and then, so that an endpoint that leaves is known in time.
    Rest,
    /// As often as may be.
    Often,
}
