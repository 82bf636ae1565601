//! Stand-in of the users' platform, and routers as real processes against it.
//!
//! It speaks the platform's published protocol and keeps an audit: how often each request ran,
//! and whether a member joined another group while the head of its own was open.

mod call;
mod caller;
mod config;
mod fleet;
mod replica;
mod replica_calls;
mod router;
mod serve;
mod standin;
mod store_calls;
mod world;

pub(crate) use call::format_request;
pub use call::{call, send, Answer};
pub use caller::Caller;
pub use config::config;
pub use fleet::{fleet, logs, served, start_fleet, start_routers, start_routers_with, until};
pub use replica::Arrival;
pub use replica_calls::{EVENTS, FATAL};
pub use router::{routing_version_at, Router};
pub use standin::Standin;
pub use world::{Backup, World};
