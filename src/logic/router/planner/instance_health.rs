use crate::types::Millis;

/// State of one instance as the planner sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InstanceHealth {
    /// Listed as live, and neither this router nor a group's leader finds it silent.
    Live,
    /// Listed as live, but its agent has had no session with this router, or no lease with its
    /// leader, for this many milliseconds.
    Silent(Millis),
    /// Leaving, by the instance list, its own report or its leader's.
    Leaving,
    /// No longer listed.
    Gone,
}
