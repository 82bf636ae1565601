use super::EntryNews;
use crate::types::{Millis, StorePosition};

/// Changes of the list that came with one reading of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NewsBatch {
    /// When they were read or heard of.
    pub at: Millis,
    /// Position of the list behind which they came.
    pub before: StorePosition,
    /// Position by which they had come.
    pub after: StorePosition,
    /// What has changed.
    pub news: Vec<EntryNews>,
}

impl NewsBatch {
    /// Most bytes that its news take in a datagram.
    pub(super) fn bytes(&self) -> usize {
        self.news.iter().map(EntryNews::bytes).sum()
    }
}
