//! Clients that don't keep to limits: no process ends, each stays within its memory and its descriptors, and
//! ordinary callers are answered beside them.

mod bodies;
mod crowd;
mod direct;
mod fleet;
mod sessions;

/// The program under test.
const BINARY: &str = env!("CARGO_BIN_EXE_runrail");
