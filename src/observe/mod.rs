//! What a process shows of itself: log, record of events, metrics.

mod event_log;
mod histograms;
mod metrics;

pub use event_log::{EventLog, LoggedNote};
pub use histograms::{HistogramRow, Histograms};
pub use metrics::Metrics;
