//! A fleet of real processes under faults that are drawn from a seed.
//!
//! Faults come one after the other and on top of each other; callers keep their connections
//! open until the process at the other end is gone. What callers, endpoints and the figures
//! of the processes show is recorded, and [`judge`] says what of it must not be.

mod client;
mod driver;
mod fault;
mod finding;
mod judge;
mod outcome;
mod plan;
mod plot;
mod record;
mod report;
mod run;

pub use fault::Fault;
pub use finding::Finding;
pub use judge::{calm_stops, judge, limited_spans};
pub use outcome::{Outcome, Sample};
pub use plan::{Plan, PlannedFault, SoakSettings};
pub use record::{Limited, ProcessFigures, Record, Span};
pub use report::write_report;
pub use run::soak;
