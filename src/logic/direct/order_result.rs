/// Outcome of an order to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OrderResult {
    /// The endpoint has begun to carry it out.
    Begun,
    /// It is done, or was done already.
    Done,
    /// The endpoint can't carry it out in its current state.
    Unfit,
    /// The endpoint has seen a higher epoch or fence.
    Outdated,
    /// The endpoint is gone, or another one has its address.
    Gone,
    /// No answer came: the endpoint may have got it and may carry it out later.
    Unanswered,
}

impl OrderResult {
    /// Its label in the metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            OrderResult::Begun => "begun",
            OrderResult::Done => "done",
            OrderResult::Unfit => "unfit",
            OrderResult::Outdated => "outdated",
            OrderResult::Gone => "gone",
            OrderResult::Unanswered => "unanswered",
        }
    }
}
