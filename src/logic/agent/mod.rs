//! Decisions of an agent, the process beside one endpoint.
//!
//! All requests to an endpoint go through its agent. The agent grants its presence to one group
//! at a time, leads the group when it is member 0, queues requests by class, remembers requests
//! that may not be repeated, and drains before it leaves.

mod admission;
mod agent_knobs;
mod agent_state;
mod claims;
mod estimate;
mod grant;
mod job;
mod lead;
mod leave;
mod load;
mod memory;
mod once_entry;
mod once_state;
mod pump;
mod queue;
mod report;
mod runs;
mod step;

pub use agent_knobs::AgentKnobs;
pub use agent_state::AgentState;
pub use grant::Grant;
pub use job::Job;
pub use lead::{Hold, Lead};
pub use load::{Share, ShareState};
pub use memory::OnceMemory;
pub use once_entry::OnceEntry;
pub use once_state::OnceState;
pub use queue::JobQueue;
pub use runs::{Running, StopReason};
pub(crate) use step::step;
