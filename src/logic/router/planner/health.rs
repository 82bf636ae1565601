use crate::types::Millis;

/// What the planner knows of one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Health {
    /// Listed as live, and its agent answers or hasn't been asked.
    Live,
    /// Listed as live, but its agent hasn't answered for this many milliseconds.
    Silent(Millis),
    /// Leaving.
    Leaving,
    /// No longer listed.
    Gone,
}
