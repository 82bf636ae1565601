//! Host of a router or an agent with sessions: an actor that passes events to the reducer and
//! carries out its effects.

mod clock;
mod host_event;
mod inbox;
mod node_actor;
mod process_handle;
mod run_agent;
mod run_router;
mod suspension;

pub use clock::Clock;
pub use host_event::{HostEvent, Inspect};
pub use inbox::Inbox;
pub use process_handle::{Addresses, ProcessHandle};
pub use run_agent::run_agent;
pub use run_router::run_router;
pub use suspension::SuspensionDetector;
