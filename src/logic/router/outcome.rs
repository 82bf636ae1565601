use displaydoc::Display;

/// What is known about a request that wasn't answered.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// not_run
    NotRun,
    /// unknown
    Unknown,
    /// failed
    Failed,
}
