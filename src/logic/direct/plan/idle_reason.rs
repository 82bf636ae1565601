/// Why an endpoint of an engine serves in no group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum IdleReason {
    /// It has no model yet and was ordered to load one.
    Loads,
    /// It has no model and waits for its turn to load one.
    Empty,
    /// It has a model, but too few other endpoints of its domain are ready for the same one,
    /// or a group of them would add less than they may add elsewhere.
    Waits,
}

impl IdleReason {
    /// Short name, for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            IdleReason::Loads => "loads",
            IdleReason::Empty => "empty",
            IdleReason::Waits => "waits",
        }
    }
}
