/// Metrics of requests, by client account and class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Metric {
    /// Time from arrival to the first piece, in milliseconds.
    FirstPiece,
    /// Time from arrival to the end, in milliseconds; not measured for requests that count as
    /// `NotRun` or `Unknown`.
    Total,
    /// Requests that were not run.
    NotRun,
    /// Requests that ended with an unknown outcome.
    Unknown,
    /// Attempts after the first.
    Retry,
}

impl Metric {
    /// Name in the metrics.
    pub fn name(self) -> &'static str {
        match self {
            Metric::FirstPiece => "first_piece_ms",
            Metric::Total => "total_ms",
            Metric::NotRun => "not_run",
            Metric::Unknown => "unknown",
            Metric::Retry => "retries",
        }
    }

    /// Whether it is a duration, for which a histogram is kept.
    pub fn is_duration(self) -> bool {
        matches!(self, Metric::FirstPiece | Metric::Total)
    }
}
