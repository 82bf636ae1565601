use std::collections::BTreeMap;
use std::sync::Arc;

use crate::types::{Millis, StorePosition};

/// Data halls that operators evacuate: their endpoints get no new requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct EvacuatedHalls {
    /// The halls. One that a restored store doesn't name any more counts until the given time, as
    /// operators write again what the store has lost.
    pub(super) halls: BTreeMap<Arc<str>, Option<Millis>>,
    /// Position of the store up to which they are known.
    pub(super) known_at: StorePosition,
}

impl EvacuatedHalls {
    /// Whether a hall is evacuated.
    pub fn contains(&self, hall: &str) -> bool {
        self.halls.contains_key(hall)
    }

    /// Upper bound for the size of their names in a digest, in bytes.
    pub(super) fn encoded_bytes(&self) -> usize {
        /// What precedes an encoded name.
        const NAME_HEADER_BYTES: usize = 3;
        let bytes = |hall: &Arc<str>| hall.len() + NAME_HEADER_BYTES;
        self.halls.keys().map(bytes).sum()
    }

    /// Number of evacuated halls.
    pub fn len(&self) -> usize {
        self.halls.len()
    }

    /// Whether no hall is evacuated.
    pub fn is_empty(&self) -> bool {
        self.halls.is_empty()
    }
}
