//! Small stand-ins of the systems around runrail, and fleets of real processes that run against
//! them; never shipped.
//!
//! The stand-ins listen on loopback and record the requests that they get, so that tests can check
//! the processes from outside.

mod crowd;
#[path = "../standin/mod.rs"]
pub mod direct;
mod engine;
mod fleet;
mod platform;
mod ports;
mod process;
mod relay;
mod respond;
mod service;
pub mod soak;
mod sse_client;

pub use crowd::{Crowd, CrowdClient};
pub use engine::{Engine, EngineParams, EngineRun, Fabric};
pub use fleet::{test_bundle, Chat, Fleet, FleetPlan, ProcessLimits, BRANCH_KEY, DESK_KEY, LONG};
pub use platform::{ListedInstance, Platform, PlatformFault};
pub use ports::{free_addr, spawn};
pub use process::{
    limited_command, open_descriptors, peak_memory_kib, processor_ticks, until, Process,
};
pub use relay::Relay;
pub use service::{Service, ServiceRun};
pub use sse_client::{post, Answer, Call};
