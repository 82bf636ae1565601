use std::net::SocketAddr;
use std::time::Duration;

/// Where the platform is and how long it is waited for.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Addresses of the key-value service; the next is tried when one fails.
    pub kv: Vec<SocketAddr>,
    /// Address of the instance list.
    pub list: SocketAddr,
    /// Time for one call.
    pub call: Duration,
    /// Calls at once.
    pub workers: usize,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            kv: Vec::new(),
            list: SocketAddr::from(([127, 0, 0, 1], 0)),
            call: Duration::from_secs(2),
            workers: 4,
        }
    }
}
