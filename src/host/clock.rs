use nix::time::{clock_gettime, ClockId};

use crate::types::Millis;

/// The clock that ages are told by. Unlike the monotonic one it counts the time for which
/// the machine was suspended, in which leases of others ran out.
#[cfg(target_os = "linux")]
const SOURCE: ClockId = ClockId::CLOCK_BOOTTIME;
#[cfg(not(target_os = "linux"))]
const SOURCE: ClockId = ClockId::CLOCK_MONOTONIC;

/// Clock of a process, in milliseconds since its start.
///
/// It never goes back, and goes on while the process is paused or its machine suspended.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Millis,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { start: read() }
    }

    /// The time now.
    pub fn now(&self) -> Millis {
        read().saturating_sub(self.start)
    }
}

fn read() -> Millis {
    // The call fails only for a clock that the system doesn't have.
    let time = clock_gettime(SOURCE).expect("the system has this clock");
    time.tv_sec() as Millis * 1_000 + time.tv_nsec() as Millis / 1_000_000
}
