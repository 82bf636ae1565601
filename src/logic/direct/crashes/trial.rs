use crate::logic::direct::Fingerprint;

/// A request that is tried alone.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Trial {
    /// Its id.
    pub request: u64,
    /// What its outcome decides on: its fingerprint and its segments, as far as they are held.
    pub causes: Vec<Fingerprint>,
}
