use super::ini_reader::IniReader;
use crate::logic::intake::IntakeLimits;
use crate::types::Millis;

/// Part of the instance's memory for requests that haven't been answered.
const REQUESTS_DIVISOR: usize = 5;

/// Limits on what a process takes in from its clients.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IntakeSettings {
    /// Memory that the process may use, in MB of 2^20 bytes.
    pub memory_mb: usize,
    /// Memory for requests that haven't been answered, in bytes; if none is set, it follows from the memory.
    pub request_bytes: Option<usize>,
    /// Time for which a connection that sends nothing is kept although another one needs its place or its
    /// memory, in milliseconds.
    pub hold_ms: Millis,
}

impl Default for IntakeSettings {
    fn default() -> Self {
        Self {
            memory_mb: 128,
            request_bytes: None,
            hold_ms: IntakeLimits::default().hold_ms,
        }
    }
}

impl IntakeSettings {
    /// Reads the section `[limits]`.
    pub(super) fn read(ini: &mut IniReader) -> Self {
        let d = Self::default();
        let positive_or = |value: u64, default: usize| match usize::try_from(value) {
            Ok(value) if value > 0 => value,
            _ => default,
        };
        let memory_mb = ini.scaled_number("limits", "memory_mb", d.memory_mb as u64, 1, "MB");
        let ms = "milliseconds";
        Self {
            memory_mb: positive_or(memory_mb, d.memory_mb),
            request_bytes: ini.optional_number(
                "limits",
                "request_bytes",
                65_536..=1_073_741_824,
                "bytes",
            ),
            hold_ms: ini.number("limits", "hold_ms", d.hold_ms, 10..=60_000, ms),
        }
    }

    /// Limits on callers.
    pub(crate) fn callers(&self) -> IntakeLimits {
        let request_bytes = self.memory_mb * 1024 * 1024 / REQUESTS_DIVISOR;
        IntakeLimits {
            connections: usize::MAX,
            request_bytes: self.request_bytes.unwrap_or(request_bytes),
            hold_ms: self.hold_ms,
            ..IntakeLimits::default()
        }
    }
}
