/// Which idle connections a call may be sent on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Reuse {
    /// Any of the peer's.
    #[default]
    Any,
    /// Those that were used just now: the peer may be closing the others.
    Recent,
    /// None: it is sent on a new one.
    Never,
}
