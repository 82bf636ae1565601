use crate::types::Millis;

/// Why a router answers a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Problem {
    /// The routing or the endpoint list is not known yet; the caller should come back after
    /// this time in milliseconds.
    NotYet(Millis),
    /// No route or service matches the request.
    NoRoute,
    /// The caller's key is missing or unknown.
    NoAccount,
    /// The request has not run and won't run; the caller should come back after this time in
    /// milliseconds.
    NotRun(Millis),
    /// Endpoints crash when they run the request; it should not be sent again.
    CrashesEndpoints,
    /// The request may have run and its answer is lost.
    Unknown,
    /// The request may have run and no answer came in time.
    TimedOut,
}

impl Problem {
    /// Short name, for logs and response bodies.
    pub fn name(&self) -> &'static str {
        match self {
            Problem::NotYet(_) => "not-yet",
            Problem::NoRoute => "no-route",
            Problem::NoAccount => "no-account",
            Problem::NotRun(_) => "not-run",
            Problem::CrashesEndpoints => "crashes-endpoints",
            Problem::Unknown => "unknown",
            Problem::TimedOut => "timed-out",
        }
    }
}
