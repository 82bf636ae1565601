//! Decisions of an agent, the process beside one endpoint.
//!
//! All requests to an endpoint go through its agent. The agent grants its presence to one group
//! at a time, leads the group when it is member 0, queues requests by class, remembers requests
//! that may not be repeated, and drains before it leaves.

mod admission;
mod agent_params;
mod agent_state;
mod claim_entry;
mod claim_memory;
mod claim_status;
mod claims;
mod estimate;
mod full_queue;
mod grant;
mod job;
mod lead;
mod leave;
mod load;
mod queue;
mod report;
mod runs;
mod scheduler;
mod step;

pub use agent_params::AgentParams;
pub use agent_state::AgentState;
pub use claim_entry::ClaimEntry;
pub use claim_memory::ClaimMemory;
pub use claim_status::ClaimStatus;
pub use full_queue::FullQueue;
pub use grant::Grant;
pub use job::Job;
pub use lead::{LedGroup, MemberLease};
pub use load::{EndpointLoad, LoadState};
pub use queue::JobQueue;
pub use runs::{RunningJob, StopReason};
pub(crate) use step::step;
