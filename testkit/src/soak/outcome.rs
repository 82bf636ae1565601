/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Outcome {
    /// The whole answer came.
    Whole,
    /// The caller was told that it has not run.
    NotRun,
    /// The caller was told that it is refused for good.
    Refused,
    /// Another answer came.
    Failed,
    /// The connection ended before the whole answer.
    Closed,
    /// The answer is not the one to this request.
    Wrong,
}

impl Outcome {
    /// Every outcome.
    pub const ALL: [Outcome; 6] = [
        Outcome::Whole,
        Outcome::NotRun,
        Outcome::Refused,
        Outcome::Failed,
        Outcome::Closed,
        Outcome::Wrong,
    ];
}

/// One request of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Its id.
    pub attempt: String,
    /// Route that it went by.
    pub kind: &'static str,
    /// The router that it was sent to.
    pub router: usize,
    /// Milliseconds from the beginning until it was sent.
    pub at_ms: u64,
    /// Milliseconds until its end.
    pub took_ms: u64,
    /// How it ended.
    pub outcome: Outcome,
}
