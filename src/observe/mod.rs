//! Observability of a process: log, recent log events, metrics.

mod event_log;
mod exposition;
mod histograms;
mod labelled_count;
mod log_writer;
mod logged_event;
mod metrics;

pub use event_log::EventLog;
pub use exposition::exposition;
pub use histograms::{HistogramRow, Histograms};
pub use labelled_count::LabelledCount;
pub use log_writer::{LogEnd, LogWriter};
pub use logged_event::LoggedEvent;
pub use metrics::Metrics;
