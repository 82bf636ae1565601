use std::collections::VecDeque;

use super::{EntryNews, ListPace, NewsBatch};
use crate::types::{Millis, StorePosition};

/// What a router knows of digests: those that it sends while it plans, and those that
/// it hears.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct DigestState {
    /// Changes of the list that haven't been given a position yet.
    pub pending: Vec<EntryNews>,
    /// Changes of the last seconds, the oldest first.
    pub recent: VecDeque<NewsBatch>,
    /// When the list was last known to be as new as the store's.
    pub list_at: Millis,
    /// When the routing was last known to be as new as the store's.
    pub routing_at: Millis,
    /// Number of the last digest sent.
    pub number: u64,
    /// When it was sent.
    pub sent: Millis,
    /// Whether something has changed since.
    pub changed: bool,
    /// Highest fence heard.
    pub fence: u64,
    /// Number of the last digest under that fence, by tree.
    pub heard: [u64; super::tree::TREES as usize],
    /// Number of the last digest whose news were taken in.
    pub taken: u64,
    /// Position up to which all that decides was read or heard.
    pub upto: StorePosition,
    /// Whether reading has gone on behind something that was only told: the list has to be
    /// read whole before this router plans.
    pub skipped: bool,
    /// Until when what was heard stands in for reading the list.
    pub list_until: Millis,
    /// Until when it stands in for reading the routing.
    pub routing_until: Millis,
    /// Pace of reading that the host was told.
    pub pace: Option<ListPace>,
    /// Whether the host was told to leave the routing alone.
    pub hold: bool,
}
