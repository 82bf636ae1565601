use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{GroupSeat, SeatState};

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Service that the endpoint belongs to.
    pub service: Arc<str>,
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Data hall.
    pub hall: Arc<str>,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether the platform lists it as draining, that is, about to be stopped.
    pub leaving: bool,
    /// Time at which the endpoint last started, in Unix milliseconds; absent where the
    /// platform doesn't report it.
    pub born: Option<u64>,
    /// How much longer it is cold, from the time at which the entry was written, in milliseconds.
    #[serde(default)]
    pub cold_ms: u64,
    /// Number of heartbeats since the endpoint last started.
    pub beats: u64,
    /// Fabric domain; empty for a plain service.
    pub domain: Arc<str>,
    /// Models whose weights are staged on its host.
    pub staged: Vec<Arc<str>>,
    /// Model that its engine holds.
    pub model: Option<Arc<str>>,
    /// Its membership in a group.
    pub seat: Option<GroupSeat>,
}

impl EndpointEntry {
    /// Whether this entry was written before another entry of the same endpoint.
    ///
    /// Heartbeats are compared only if both entries have the same start time: without one,
    /// the count may have restarted from zero.
    pub fn precedes(&self, other: &Self) -> bool {
        let same_start = self.born.is_some() && self.born == other.born;
        self.born < other.born || (same_start && self.beats < other.beats)
    }

    /// Whether the endpoint has restarted between another entry of it and this one.
    pub fn restarts(&self, other: &Self) -> bool {
        let starts = other.born.zip(self.born);
        starts.is_some_and(|(before, now)| now > before)
    }

    /// Epoch of the open group that the endpoint is the head of, if any.
    pub fn open_epoch(&self) -> Option<u64> {
        let is_open_head = |s: &&GroupSeat| s.rank == 0 && s.state == SeatState::Open;
        self.seat.as_ref().filter(is_open_head).map(|s| s.epoch)
    }
}
