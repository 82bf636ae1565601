//! Stand-in of the users' platform, and routers as real processes against it.
//!
//! It speaks the platform's published protocol and keeps an audit: how often each request ran,
//! and whether a member joined another group while the head of its own was open or stood still.

mod call;
mod caller;
mod caller_request;
mod config;
mod cut;
mod cut_end;
mod cutter;
mod fleet;
mod flood;
mod flooder;
mod odd_entry;
mod replica;
mod replica_calls;
mod router;
mod serve;
mod standin;
mod store_calls;
mod streams;
mod world;

pub use call::{call, exchange, send, send_as, send_sharing, Answer};
pub use caller::Caller;
pub use caller_request::CallerRequest;
pub(crate) use config::FLOOD_KEY;
pub use config::{config, contended_config};
pub use cut::Cut;
pub use cut_end::CutEnd;
pub use cutter::Cutter;
pub use fleet::{fleet, logs, served, start_fleet, start_routers, start_routers_with, until};
pub use flood::Flood;
pub use flooder::Flooder;
pub use odd_entry::OddEntry;
pub use replica::Arrival;
pub use replica_calls::{EVENTS, FATAL, FATAL_SEGMENT};
pub use router::{routing_version_at, Router};
pub use standin::Standin;
pub use streams::Streams;
pub use world::{Backup, World};
