use std::net::SocketAddr;
use std::time::Duration;

/// Addresses of the platform and limits of the calls to it.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Addresses of the key-value service; after a failed call the next one is used.
    pub kv: Vec<SocketAddr>,
    /// Address of the instance list.
    pub list: SocketAddr,
    /// Timeout of a call.
    pub call: Duration,
    /// Maximum number of concurrent calls to the key-value service.
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
