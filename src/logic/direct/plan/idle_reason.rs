/// Why an endpoint serves in no group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum IdleReason {
    /// It loads a model and holds none.
    Loads,
    /// It holds no model and waits for its turn to load one.
    Empty,
    /// It could serve, but too few others of its domain are ready for the same model, or
    /// a group of them would add less than they may add elsewhere.
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
