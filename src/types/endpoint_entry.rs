use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{GroupSeat, SeatState};

/// One endpoint as the platform's list shows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Data hall.
    pub hall: Arc<str>,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// When this life of the endpoint began, in Unix milliseconds; absent where the
    /// platform doesn't tell.
    pub born: Option<u64>,
    /// Heartbeats so far in this life.
    pub beats: u64,
    /// Fabric domain; empty for a plain service.
    pub domain: Arc<str>,
    /// Models whose weights lie on its host.
    pub staged: Vec<Arc<str>>,
    /// Model that it holds.
    pub model: Option<Arc<str>>,
    /// Its place in a group.
    pub seat: Option<GroupSeat>,
}

impl EndpointEntry {
    /// Whether this entry was written before another one of the same endpoint. Without a
    /// time of birth the count of heartbeats may have begun anew and tells nothing.
    pub fn precedes(&self, other: &Self) -> bool {
        let same_life = self.born.is_some() && self.born == other.born;
        self.born < other.born || (same_life && self.beats < other.beats)
    }

    /// Whether this entry is of a later life than another one of the same endpoint.
    pub fn restarts(&self, other: &Self) -> bool {
        let lives = other.born.zip(self.born);
        lives.is_some_and(|(before, now)| now > before)
    }

    /// Epoch of the group that it takes requests for; absent where it heads none.
    pub fn open_epoch(&self) -> Option<u64> {
        let open = |s: &&GroupSeat| s.rank == 0 && s.state == SeatState::Open;
        self.seat.as_ref().filter(open).map(|s| s.epoch)
    }
}
