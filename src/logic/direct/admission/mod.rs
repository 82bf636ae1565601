//! Admission: which of the requests that wait for the same endpoints get room, and how much room there
//! is.

pub(in crate::logic::direct) mod concurrency_limit;
pub(in crate::logic::direct) mod pool;
pub(in crate::logic::direct) mod queue;
pub(in crate::logic::direct) mod usage_reports;

mod account_use;
mod admission_state;
mod decaying;
mod fair_order;
mod pool_load;
mod pool_state;
mod precedence;
mod queue_key;
mod request_cost;
mod router_share;
mod start_forecast;
mod usage_table;
mod verdict;
mod wait_queue;
mod waiting_case;

pub use account_use::AccountUse;
pub use admission_state::AdmissionState;
pub use fair_order::{fair_order, QueuedRequest};
pub use pool_load::PoolLoad;
pub use pool_state::PoolState;
pub use precedence::Precedence;
pub use queue_key::QueueKey;
pub use request_cost::request_cost;
pub(in crate::logic::direct) use router_share::{RouterShare, WHOLE_PPM};
pub use start_forecast::StartForecast;
pub use usage_table::{largest_accounts, UsageTable, MAX_REPORTED};
pub use verdict::Verdict;
pub use wait_queue::WaitQueue;
pub use waiting_case::{usable_forecast, WaitingCase};
