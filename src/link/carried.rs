use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Requests that a connection carries at most, as it remembers their labels.
const MAX_REQUESTS: usize = 512;

/// Requests that a connection has carried.
#[derive(Debug, Default)]
pub(super) struct Carried {
    requests: usize,
    /// Hashes of the labels of requests that have one.
    labels: HashSet<u64>,
}

impl Carried {
    /// Adds a request.
    pub fn add(&mut self, label: Option<&str>) {
        self.requests += 1;
        self.labels.extend(label.map(hash));
    }

    /// Whether one of the requests had this label.
    pub fn has(&self, label: &str) -> bool {
        self.labels.contains(&hash(label))
    }

    /// Whether there was more than one request.
    pub fn has_several(&self) -> bool {
        self.requests > 1
    }

    /// Whether the connection carries no more requests.
    pub fn is_full(&self) -> bool {
        self.requests >= MAX_REQUESTS
    }
}

fn hash(label: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    label.hash(&mut hasher);
    hasher.finish()
}
