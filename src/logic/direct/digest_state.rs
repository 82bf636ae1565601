use std::collections::VecDeque;

use super::{EndpointUpdate, ListPace, UpdateBatch};
use crate::types::{Millis, StorePosition};

/// State of digests: those that this router sends while it plans, and those that it receives.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct DigestState {
    /// Updates that have no store position yet.
    pub pending: Vec<EndpointUpdate>,
    /// Batches of updates that are still repeated in digests, the oldest first.
    pub recent: VecDeque<UpdateBatch>,
    /// When the list was last known to be current.
    pub list_at: Millis,
    /// When the routing was last known to be current.
    pub routing_at: Millis,
    /// Number of the last digest sent.
    pub number: u64,
    /// When the last digests were sent.
    pub sent_at: Millis,
    /// Whether the next ones have something new to tell.
    pub has_changes: bool,
    /// Highest fence received.
    pub fence: u64,
    /// Number of the last digest received under that fence, by tree.
    pub last_numbers: [u64; super::tree::TREES as usize],
    /// Number of the last digest that was applied.
    pub last_applied: u64,
    /// Position up to which every change that affects where requests go was read or received.
    pub known_upto: StorePosition,
    /// Whether reading went on after changes known by digests only, which lack those that don't
    /// affect where requests go: the list has to be read in full before this router plans.
    pub list_incomplete: bool,
    /// Until when digests make reading the list unnecessary.
    pub list_until: Millis,
    /// Until when they make reading the routing unnecessary.
    pub routing_until: Millis,
    /// Version of the planner's routing, by the last digest.
    pub planner_version: u64,
    /// Position of the store at which operators' keys are newer than this router's, if the last digest
    /// told of that.
    pub newer_keys: Option<StorePosition>,
    /// Pace of reading the list last sent to the host.
    pub pace: Option<ListPace>,
    /// Whether the host was last told not to read the routing.
    pub routing_held: bool,
}
