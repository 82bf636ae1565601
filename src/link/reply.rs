/// What the head of an endpoint's answer says about a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// It belongs to another request, or to none.
    pub foreign: bool,
    /// The endpoint says that it did not run the request.
    pub not_run: bool,
    /// A stream of events follows.
    pub stream: bool,
}
