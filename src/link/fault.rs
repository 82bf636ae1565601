/// Why a call over HTTP brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// Nothing was sent: the address refused.
    Refused,
    /// Nothing was sent: no connection came up in time.
    NotSent,
    /// It may have been sent; no whole answer came.
    Broken,
}
