/// What follows for a request from its crashes and those of other requests. None of this is proof that the
/// request is wrong: callers are told to come back wherever it isn't sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// It is sent.
    Sent,
    /// It isn't sent: reports of other routers may still show that another request has caused its crashes.
    Unsettled,
    /// One at a time is tried alone; the others aren't sent.
    Held,
    /// It isn't sent before its next trial is due.
    Blocked,
}
