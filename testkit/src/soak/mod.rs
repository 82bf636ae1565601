//! Runs a fleet of real processes under random faults that are drawn from a seed.
//!
//! Faults follow each other and overlap. Callers keep their connections open until the router
//! closes them or, every other caller, until an answer has `Connection: close`. The outcomes of
//! requests, the runs at endpoints and the resource usage of the processes are recorded, and
//! [`judge`] reports what violates a check.

mod client;
mod driver;
mod fault;
mod finding;
mod judge;
mod outcome;
mod plan;
mod plot;
mod received;
mod record;
mod report;
mod run;
mod sockets;

pub use fault::Fault;
pub use finding::Finding;
pub use judge::{judge, limit_window_counts, undisturbed_shutdowns};
pub use outcome::{Outcome, Sample};
pub use plan::{Plan, PlannedFault, SoakSettings, FEATURES};
pub use received::{broken_hold_offs, sent_to_leaving, Received};
pub use record::{Limited, ProcessFigures, Record, Span};
pub use report::write_report;
pub use run::soak;
