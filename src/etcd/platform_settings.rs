use std::net::SocketAddr;
use std::time::Duration;

/// Addresses of the platform and limits of the calls to it.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Addresses of the key-value service; after a failed call the next one is used.
    pub kv_addrs: Vec<SocketAddr>,
    /// Address of the instance list.
    pub list_addr: SocketAddr,
    /// Timeout of a call.
    pub call_timeout: Duration,
    /// Maximum number of concurrent calls to the key-value service.
    pub workers: usize,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            kv_addrs: Vec::new(),
            list_addr: SocketAddr::from(([127, 0, 0, 1], 0)),
            call_timeout: Duration::from_secs(2),
            workers: 4,
        }
    }
}
