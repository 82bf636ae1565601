/// The use of a load, in descending precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LoadUse {
    /// With others that are free, the endpoint forms a group that is needed.
    Completes,
    /// It can replace a member that is lost.
    Replaces,
    /// It is too few with the other free ones for any group, and is kept ready for each model.
    Leftover,
}

impl LoadUse {
    /// Short name, for logs.
    pub fn name(self) -> &'static str {
        match self {
            LoadUse::Completes => "completes",
            LoadUse::Replaces => "replaces",
            LoadUse::Leftover => "leftover",
        }
    }
}
