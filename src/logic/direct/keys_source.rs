use std::net::SocketAddr;

use crate::types::StorePosition;

/// Another router that has newer operators' keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeysSource {
    /// Where it listens.
    pub from: SocketAddr,
    /// Position of the store up to which its keys have to reach.
    pub at: StorePosition,
}
