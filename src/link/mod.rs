//! The host of a router with direct links: HTTP both ways and the store.
//!
//! Everything runs on one thread: tokio's tasks do the waiting, a `stakker`
//! actor owns the state and hands each event to the reducer. What is said on
//! the wire comes from a [`Dialect`]; this module knows no platform by name.

mod answer_body;
mod backlog;
mod callers;
mod dialect;
mod direct_actor;
mod event_splitter;
mod fault;
mod link_event;
mod looks;
mod page;
mod page_time;
mod peers;
mod pool;
mod ready;
mod reply;
mod run_direct;
mod runs;
mod shared;
mod store;
mod store_gate;
mod store_use;
mod watched;
mod watches;

pub use backlog::more_wait;
pub use dialect::Dialect;
pub use event_splitter::{EventSplitter, SplitEvent};
pub use page::Page;
pub use page_time::page_time;
pub use reply::Reply;
pub use run_direct::run_direct;
pub use store_gate::{Pass, StoreGate};
pub use watched::Watched;
pub(crate) use watches::{Watch, WatchPace};
