/// What came of an order to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OrderResult {
    /// It has begun.
    Begun,
    /// It holds already, or is done.
    Done,
    /// It doesn't fit the endpoint's state.
    Unfit,
    /// The endpoint has seen a higher epoch or fence.
    Outdated,
    /// The endpoint is another one, or has gone.
    Gone,
    /// No answer: it may have been taken, and may be carried out later.
    Unanswered,
}

impl OrderResult {
    /// Its name in the metrics.
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
