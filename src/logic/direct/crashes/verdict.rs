/// What follows for a request from its crashes and those of other requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is sent.
    Sent,
    /// It isn't sent, and callers are told to come back: reports of other routers may still show
    /// that another request has caused its crashes.
    Unsettled,
    /// Another request has probably caused its crashes. One at a time is tried alone; callers of
    /// others are told to come back.
    Held,
    /// It is refused.
    Refused,
}
