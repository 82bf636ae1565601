use crate::types::Millis;

/// Limits on what a process takes in from its clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IntakeLimits {
    /// Most connections at a time.
    pub connections: usize,
    /// Memory for the requests of all connections that haven't been answered, in bytes. The first
    /// `free_bytes` of each don't count.
    pub request_bytes: usize,
    /// Bytes of a request for which there is always memory, so that large requests keep out no small ones.
    pub free_bytes: usize,
    /// Time for which a connection that sends nothing is kept although another one needs its place or its
    /// memory, in milliseconds.
    pub hold_ms: Millis,
}

impl Default for IntakeLimits {
    fn default() -> Self {
        Self {
            connections: 1_280,
            request_bytes: 24 * 1024 * 1024,
            free_bytes: 8 * 1024,
            hold_ms: 500,
        }
    }
}
