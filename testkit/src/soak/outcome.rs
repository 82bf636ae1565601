/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Outcome {
    /// The complete answer arrived.
    Whole,
    /// The answer reports that the request has not run.
    NotRun,
    /// The answer refuses the request permanently: any 3xx or 4xx but those that tell callers to come back.
    Refused,
    /// Another answer arrived.
    Failed,
    /// The connection ended before the complete answer.
    Closed,
    /// The answer reports success but isn't the complete one to this request.
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
    /// Attempt id.
    pub attempt: String,
    /// Kind of request: its route, `flood`, what in it crashes endpoints: `fatal` (its body) or
    /// `segment`, or `beside`: a sound one that shares its other segments with these.
    pub kind: &'static str,
    /// Index of the router that it was sent to.
    pub router: usize,
    /// Milliseconds from the beginning until it was sent.
    pub at_ms: u64,
    /// Milliseconds from then until it ended.
    pub took_ms: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// Time after which its answer asks the caller to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Whether it was refused before and has come back when it was asked to.
    pub returned: bool,
}
