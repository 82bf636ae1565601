/// What an endpoint is that can load a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoadSource {
    /// Whether it serves in a group.
    pub seated: bool,
    /// Index of the model that it holds, if any.
    pub held: Option<usize>,
}
