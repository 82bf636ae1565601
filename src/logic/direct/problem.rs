use crate::types::Millis;

/// Why a router answers a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Problem {
    /// The routing or the endpoint list is not known yet, or there may be a newer routing; the caller
    /// should come back after this time in milliseconds.
    NotYet(Millis),
    /// No route or service matches the request.
    NoRoute,
    /// The caller's key is missing or unknown.
    NoAccount,
    /// The head of the request is larger than the routing allows.
    HeadTooLarge,
    /// The body of the request is larger than the routing allows.
    BodyTooLarge,
    /// The request has not run and won't run; the caller should come back after this time in
    /// milliseconds.
    NotRun(Millis),
    /// Endpoints have crashed while they ran the request, or one like it. It has not run and won't run;
    /// the caller should come back after this time in milliseconds.
    CrashesEndpoints(Millis),
    /// The request may have run and its answer is lost.
    Unknown,
    /// The request may have run and no answer came in time.
    TimedOut,
}

impl Problem {
    /// Time after which the caller should come back, in milliseconds. With one, the request has not run
    /// and won't run.
    pub fn retry_after(&self) -> Option<Millis> {
        match self {
            Problem::NotYet(ms) | Problem::NotRun(ms) | Problem::CrashesEndpoints(ms) => Some(*ms),
            Problem::NoRoute
            | Problem::NoAccount
            | Problem::HeadTooLarge
            | Problem::BodyTooLarge
            | Problem::Unknown
            | Problem::TimedOut => None,
        }
    }

    /// Short name, for logs and response bodies.
    pub fn name(&self) -> &'static str {
        match self {
            Problem::NotYet(_) => "not-yet",
            Problem::NoRoute => "no-route",
            Problem::NoAccount => "no-account",
            Problem::HeadTooLarge => "head-too-large",
            Problem::BodyTooLarge => "body-too-large",
            Problem::NotRun(_) => "not-run",
            Problem::CrashesEndpoints(_) => "crashes-endpoints",
            Problem::Unknown => "unknown",
            Problem::TimedOut => "timed-out",
        }
    }
}
