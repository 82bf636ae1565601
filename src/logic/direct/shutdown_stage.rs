/// Stage of an orderly shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum ShutdownStage {
    /// Callers are accepted and served.
    #[default]
    Accepting,
    /// No more callers are accepted; requests in flight are still served.
    Draining,
    /// All requests have their answer, or the time to shut down is over: the process exits.
    Done,
}
