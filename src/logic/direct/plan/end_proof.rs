/// What proves that a group has ended, so that its members may join another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndProof {
    /// Its head has said that it is in the group no more.
    Left,
    /// Its head reports that it has broken.
    Broken,
    /// Another process has its head's address.
    Gone,
    /// Its head's process has started anew.
    Restarted,
}

impl EndProof {
    /// Its name in the log.
    pub(super) fn name(self) -> &'static str {
        match self {
            EndProof::Left => "left",
            EndProof::Broken => "broken",
            EndProof::Gone => "gone",
            EndProof::Restarted => "restarted",
        }
    }
}
