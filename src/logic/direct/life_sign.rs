use crate::types::EndpointEntry;

/// What an entry of the list shows of the endpoint's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LifeSign {
    /// When the process started, in Unix milliseconds; absent if the entry doesn't tell.
    pub born: Option<u64>,
    /// Number of heartbeats since then.
    pub beats: u64,
}

impl LifeSign {
    /// What an entry shows.
    pub fn of(entry: &EndpointEntry) -> Self {
        Self {
            born: entry.born,
            beats: entry.beats,
        }
    }

    /// Whether a later sign is of the same process, which has written a heartbeat meanwhile.
    pub fn continues_in(&self, later: &Self) -> bool {
        self.born == later.born && self.beats < later.beats
    }
}
