/// Whether requests of a route may be repeated, and how they are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// A request may run more than once.
    Safe,
    /// A request must run at most once.
    Unsafe,
    /// The answer is a stream of events.
    Streaming,
}
