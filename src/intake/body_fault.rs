use std::error::Error;

/// Why the body of a request couldn't be read.
#[derive(Debug)]
pub(crate) enum BodyFault {
    /// It is longer than the limit.
    TooLong,
    /// There is no memory for it, or it gave way to another request.
    NoRoom,
    /// It is incomplete, and nothing has come for longer than a connection may rest.
    Stalled,
    /// It is incomplete, and its client doesn't wait any longer.
    Late,
    /// The connection broke off, or its bytes are no body.
    Broken(Box<dyn Error + Send + Sync>),
}

impl BodyFault {
    /// Name of the limit that the client has met, for counters; none for a connection that broke off.
    pub fn limit(&self) -> Option<&'static str> {
        match self {
            BodyFault::TooLong => Some("body_bytes"),
            BodyFault::Stalled => Some("idle"),
            BodyFault::Late => Some("deadline"),
            // Counted where it is decided.
            BodyFault::NoRoom | BodyFault::Broken(_) => None,
        }
    }
}
