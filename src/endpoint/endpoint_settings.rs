use std::net::SocketAddr;
use std::time::Duration;

/// Address of the endpoint, and timeouts of the calls to it.
#[derive(Clone, Debug)]
pub struct EndpointSettings {
    /// Address.
    pub addr: SocketAddr,
    /// Timeout of the head of the response to an order to load a model.
    pub load_timeout: Duration,
    /// Timeout of the head of a response, except that of an order to load a model. The body has
    /// none.
    pub head_timeout: Duration,
    /// Interval between two requests for its status; a plain service isn't asked.
    pub status_interval: Duration,
    /// Whether it is a model engine, which reports its status.
    pub is_engine: bool,
}

impl Default for EndpointSettings {
    fn default() -> Self {
        Self {
            addr: SocketAddr::from(([127, 0, 0, 1], 0)),
            load_timeout: Duration::from_secs(900),
            head_timeout: Duration::from_secs(120),
            status_interval: Duration::from_secs(1),
            is_engine: true,
        }
    }
}
