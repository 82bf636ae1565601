use super::ini_reader::IniReader;
use crate::intake::process_descriptors;
use crate::logic::intake::IntakeLimits;
use crate::types::Millis;

/// Callers' connections for each MB of the instance's memory: one takes up to 40 KiB while the head of a
/// request comes in.
const CONNECTIONS_PER_MB: usize = 10;

/// Part of the hold time for a handshake, whose frames are short and come at once.
const HANDSHAKE_DIVISOR: Millis = 10;

/// Part of the instance's memory for requests that haven't been answered.
const REQUESTS_DIVISOR: usize = 5;

/// Limits on what a process takes in from its clients.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IntakeSettings {
    /// Memory that the process may use, in MB of 2^20 bytes.
    pub memory_mb: usize,
    /// Files and sockets that the process may have open; the system may allow it less.
    pub descriptors: usize,
    /// Most connections of callers; if none is set, it follows from the memory and the descriptors.
    pub connections: Option<usize>,
    /// Most connections at each other listener; if none is set, it follows from the descriptors.
    pub others: Option<usize>,
    /// Most connections of other processes that haven't shown yet that they hold the fleet's key; if none is set,
    /// it follows from the descriptors.
    pub strangers: Option<usize>,
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
            descriptors: 4_096,
            connections: None,
            others: None,
            strangers: None,
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
        let descriptors =
            ini.scaled_number("limits", "descriptors", d.descriptors as u64, 1, "files");
        let ms = "milliseconds";
        Self {
            memory_mb: positive_or(memory_mb, d.memory_mb),
            descriptors: positive_or(descriptors, d.descriptors),
            connections: ini.optional_number("limits", "connections", 1..=65_536, "connections"),
            others: ini.optional_number("limits", "other_connections", 1..=65_536, "connections"),
            strangers: ini.optional_number("limits", "strangers", 1..=65_536, "connections"),
            request_bytes: ini.optional_number(
                "limits",
                "request_bytes",
                65_536..=1_073_741_824,
                "bytes",
            ),
            hold_ms: ini.number("limits", "hold_ms", d.hold_ms, 10..=60_000, ms),
        }
    }

    /// Limits on callers: three eighths of the descriptors at most.
    pub(crate) fn callers(&self) -> IntakeLimits {
        let by_descriptors = process_descriptors(self.descriptors) * 3 / 8;
        let connections = (self.memory_mb * CONNECTIONS_PER_MB).min(by_descriptors);
        let request_bytes = self.memory_mb * 1024 * 1024 / REQUESTS_DIVISOR;
        IntakeLimits {
            connections: self.connections.unwrap_or(connections).max(1),
            request_bytes: self.request_bytes.unwrap_or(request_bytes),
            hold_ms: self.hold_ms,
            ..IntakeLimits::default()
        }
    }

    /// Limits on the clients of another listener.
    pub(crate) fn others(&self) -> IntakeLimits {
        let connections = process_descriptors(self.descriptors) / 16;
        IntakeLimits {
            connections: self.others.unwrap_or(connections).max(1),
            ..self.callers()
        }
    }

    /// Limits on other processes until they have shown that they hold the fleet's key.
    pub(crate) fn strangers(&self) -> IntakeLimits {
        let connections = process_descriptors(self.descriptors) / 8;
        IntakeLimits {
            connections: self.strangers.unwrap_or(connections).max(1),
            hold_ms: (self.hold_ms / HANDSHAKE_DIVISOR).max(1),
            ..self.callers()
        }
    }
}
