//! Plans which capacity is prepared: which endpoints load which model from the weight store.
//!
//! `plan_loads` is one decision for all loads of a service; `plan` reads its input from the list
//! and gives the orders. See `docs/design/capacity.md`.

mod load_domain;
mod load_input;
mod load_model;
mod load_report;
mod load_schedule;
mod load_source;
mod load_use;
mod model_trend;
mod planned_load;
mod ready_counts;

pub(super) use model_trend::TREND_PERIOD_MS;

pub use load_domain::LoadDomain;
pub use load_input::LoadInput;
pub use load_model::LoadModel;
pub use load_report::LoadReport;
pub use load_schedule::plan_loads;
pub use load_source::LoadSource;
pub use load_use::LoadUse;
pub use model_trend::ModelTrend;
pub use planned_load::PlannedLoad;
pub use ready_counts::ReadyCounts;
