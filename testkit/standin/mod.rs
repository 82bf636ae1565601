//! Stand-in of the users' platform, and routers as real processes against it.
//!
//! It speaks the published protocol and keeps an audit: what ran how often, and whether
//! anyone joined another group while its head was open.

mod call;
mod config;
mod fleet;
mod replica;
mod replica_calls;
mod router;
mod serve;
mod standin;
mod store_calls;
mod world;

pub(crate) use call::request;
pub use call::{call, send, Answer};
pub use config::config;
pub use fleet::{fleet, fleet_behind, fleet_of, logs, served, until};
pub use replica_calls::{EVENTS, FATAL};
pub use router::{routing_at, Router};
pub use standin::Standin;
pub use world::{Copy, World};
