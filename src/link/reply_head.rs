/// What the head of an endpoint's answer shows about a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplyHead {
    /// The answer doesn't belong to the request and isn't used.
    pub is_foreign: bool,
    /// The answer names the label of the request.
    pub is_labelled: bool,
    /// The answer is a success without the signature that every success has, and isn't used.
    pub is_unsigned: bool,
    /// The endpoint reports that it did not run the request.
    pub not_run: bool,
    /// The body is a stream of events.
    pub stream: bool,
}
