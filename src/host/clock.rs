use nix::time::{clock_gettime, ClockId};

use crate::types::Millis;

/// The system clock that ages are measured with. Unlike the monotonic one it includes the time
/// for which the machine was suspended, in which leases of others expire.
#[cfg(target_os = "linux")]
const SOURCE: ClockId = ClockId::CLOCK_BOOTTIME;
#[cfg(not(target_os = "linux"))]
const SOURCE: ClockId = ClockId::CLOCK_MONOTONIC;

/// Clock of a process, in milliseconds since its start.
///
/// It never goes back, and advances while the process is paused and, on Linux, while the machine
/// is suspended.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Millis,
}

impl Clock {
    /// Creates a clock that starts at 0 now.
    pub fn start() -> Self {
        Self { start: read() }
    }

    /// Milliseconds since the clock's start.
    pub fn now(&self) -> Millis {
        read().saturating_sub(self.start)
    }
}

fn read() -> Millis {
    // The call fails only for a clock that the system doesn't support.
    let time = clock_gettime(SOURCE).expect("the system has this clock");
    time.tv_sec() as Millis * 1_000 + time.tv_nsec() as Millis / 1_000_000
}
