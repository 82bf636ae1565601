/// A part of a caller's request that is larger than the routing allowed when it was read. The rest of it
/// wasn't read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Excess {
    /// Its head has more bytes than this limit.
    Head(usize),
    /// Its body has more bytes than this limit.
    Body(usize),
}
