use crate::types::Millis;

/// Why a router answers a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Problem {
    /// No routing is known yet, or none of its endpoints; come back after this time.
    NotYet(Millis),
    /// No such route.
    NoRoute,
    /// The key isn't known.
    NoAccount,
    /// The request has not run and never will; come back after this time.
    NotRun(Millis),
    /// Endpoints crash when they run it; nobody should send it again.
    CrashesEndpoints,
    /// It may have run and its answer is lost.
    Unknown,
    /// It may have run and no answer came in time.
    TimedOut,
}

impl Problem {
    /// Short name, for logs and bodies.
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
