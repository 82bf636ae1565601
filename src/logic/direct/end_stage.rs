/// Stage of an orderly shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum EndStage {
    /// Callers are accepted and served.
    #[default]
    Open,
    /// No more callers are accepted; requests in flight are still served.
    Closed,
    /// All requests have their answer, or the time to shut down is over: the process exits.
    Over,
}
