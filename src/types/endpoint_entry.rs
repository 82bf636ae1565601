use std::net::{IpAddr, SocketAddr};
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

/// Longest name, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// Most models staged on one host.
const MAX_STAGED: usize = 1_024;

/// Most requests that an endpoint runs concurrently.
const MAX_SLOTS: u32 = 1 << 16;

/// Longest time for which an endpoint is cold, in milliseconds: a day.
const MAX_COLD_MS: u64 = 86_400_000;

/// Latest start, in Unix milliseconds: in the year 2109.
const MAX_STARTED_MS: u64 = 1 << 42;

/// Most heartbeats since a start: one a millisecond for 34 years.
const MAX_BEATS: u64 = 1 << 40;

impl EndpointEntry {
    /// Checks that the values are in the range that this product works with. Other writers may leave
    /// anything in the list.
    ///
    /// # Errors
    /// Returns the first field that is out of range, with what was found and expected.
    pub fn check(&self) -> Result<(), String> {
        let model = self.model.iter().map(|name| ("model", name));
        let staged = self.staged.iter().map(|name| ("staged model", name));
        let names = [
            ("service", &self.service),
            ("hall", &self.hall),
            ("domain", &self.domain),
        ];
        for (field, name) in names.into_iter().chain(model).chain(staged) {
            check_name(field, name)?;
        }
        check_address(self.addr)?;
        check_most("staged models", self.staged.len() as u64, MAX_STAGED as u64)?;
        check_most("slots", self.slots.into(), MAX_SLOTS.into())?;
        check_most("cold time in ms", self.cold_ms, MAX_COLD_MS)?;
        check_most("start", self.born.unwrap_or(0), MAX_STARTED_MS)?;
        check_most("heartbeats", self.beats, MAX_BEATS)?;
        self.seat.as_ref().map_or(Ok(()), GroupSeat::check)
    }

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

/// Checks that a number is at most `most`.
pub(super) fn check_most(field: &str, found: u64, most: u64) -> Result<(), String> {
    if found <= most {
        return Ok(());
    }
    Err(format!("{field}: found {found}, expected at most {most}"))
}

/// Checks the length of a name.
pub(super) fn check_name(field: &str, name: &str) -> Result<(), String> {
    let bytes = name.len();
    if bytes <= MAX_NAME_BYTES {
        return Ok(());
    }
    Err(format!(
        "{field}: found {bytes} bytes, expected at most {MAX_NAME_BYTES}"
    ))
}

/// Checks that an address is that of one process.
///
/// # Errors
/// Returns what was found and expected.
pub(crate) fn check_address(addr: SocketAddr) -> Result<(), String> {
    let ip = addr.ip();
    let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    if addr.port() > 0 && !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast {
        return Ok(());
    }
    Err(format!(
        "address: found {addr}, expected the address and port of one process"
    ))
}
