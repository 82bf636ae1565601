/// What is measured of requests, by client account and class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Metric {
    /// Milliseconds from arrival to the first piece.
    FirstPiece,
    /// Milliseconds from arrival to the end.
    Total,
    /// Requests that were not run.
    NotRun,
    /// Requests whose outcome stayed unknown.
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

    /// Whether values are durations, for which a histogram is kept.
    pub fn is_duration(self) -> bool {
        matches!(self, Metric::FirstPiece | Metric::Total)
    }
}
