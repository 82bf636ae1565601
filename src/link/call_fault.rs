/// Why an HTTP call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallFault {
    /// Nothing was sent: the connection was refused.
    Refused,
    /// Nothing was sent: no connection could be opened in time, or it failed before the request
    /// was written.
    NotSent,
    /// The request may have been sent; no complete answer was received.
    Broken,
}
