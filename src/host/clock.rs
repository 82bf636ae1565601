use std::time::Instant;

use crate::types::Millis;

/// Monotonic clock of a process, in milliseconds since its start.
///
/// It goes on while the process is paused, so a pause is seen as time passed.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The time now.
    pub fn now(&self) -> Millis {
        self.start.elapsed().as_millis() as Millis
    }
}
