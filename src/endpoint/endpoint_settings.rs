use std::net::SocketAddr;
use std::time::Duration;

/// Where the endpoint is and how long it is waited for.
#[derive(Clone, Debug)]
pub struct EndpointSettings {
    /// Its address.
    pub addr: SocketAddr,
    /// Time for a load order.
    pub load: Duration,
    /// Longest time between two bytes of an answer.
    pub silence: Duration,
    /// Time between two questions for its load; a plain service isn't asked.
    pub status: Duration,
    /// Whether it is a model engine, which reports its load.
    pub engine: bool,
}

impl Default for EndpointSettings {
    fn default() -> Self {
        Self {
            addr: SocketAddr::from(([127, 0, 0, 1], 0)),
            load: Duration::from_secs(900),
            silence: Duration::from_secs(120),
            status: Duration::from_secs(1),
            engine: true,
        }
    }
}
