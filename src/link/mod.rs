//! Host of a router with direct links: HTTP to callers, endpoints and the store.
//!
//! Everything runs on one thread: tokio tasks do the I/O, and a `stakker` actor owns the state
//! and passes each event to the reducer. The platform adapter ([`PlatformAdapter`]) defines all
//! messages on the wire; this module depends on no particular platform.

mod answer_body;
mod answer_head;
mod answer_room;
mod backlog;
mod call_fault;
mod call_use;
mod callers;
mod carried;
mod direct_actor;
mod endpoint_calls;
mod event_splitter;
mod excerpt;
mod http_listener;
mod limited_stream;
mod link_event;
mod operator_key;
mod operator_keys;
mod operator_watch;
mod page_timeout;
mod parsed_entry;
mod parsed_report;
mod peers;
mod platform_adapter;
mod pool;
mod ready;
mod refused_entries;
mod reply_head;
mod reuse;
mod run_direct;
mod runs;
mod shared;
mod snapshots;
mod store;
mod store_gate;
mod store_page;
mod store_use;
mod unknown_names;
mod watch_result;
mod watches;

pub use backlog::has_backlog;
pub use event_splitter::{EventSplitter, SplitEvent};
pub use operator_key::OperatorKey;
pub use page_timeout::page_timeout;
pub use parsed_entry::ParsedEntry;
pub use parsed_report::ParsedReport;
pub use platform_adapter::PlatformAdapter;
pub use reply_head::ReplyHead;
pub use run_direct::run_direct;
pub use store_gate::{Permit, StoreGate};
pub use store_page::StorePage;
pub use watch_result::WatchResult;
pub(crate) use watches::{WatchPace, WatchTarget};
