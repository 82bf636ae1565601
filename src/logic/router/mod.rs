//! Decisions of a router, the process on an entry instance.
//!
//! A router takes callers' requests, chooses groups for them, settles their
//! outcome and answers operators. One router of each data hall also plans that
//! hall's groups while it holds the hall's planner lease.

mod accept;
mod agent_view;
mod agents;
mod answer_part;
mod budget;
mod caller_request;
mod calls;
mod claim_batch;
mod claim_writers;
mod claiming;
mod finish;
mod fleet;
mod head;
mod keys;
mod list_reply;
mod metric;
mod operator;
mod operator_call;
mod operator_reply;
mod peers;
mod planner;
mod problem;
mod recalling;
mod request;
mod roll;
mod route;
mod router_knobs;
mod router_state;
mod sending;
mod status;
mod step;
mod store_call;
mod store_result;

pub use agent_view::AgentView;
pub use answer_part::AnswerPart;
pub use budget::RetryBudget;
pub use caller_request::CallerRequest;
pub use calls::{CallId, Purpose};
pub use claim_batch::{AwayClaim, ClaimBatch, WaitingClaim};
pub use fleet::Fleet;
pub use head::HeadView;
pub use keys::Keys;
pub use list_reply::ListReply;
pub use metric::Metric;
pub use operator_call::OperatorCall;
pub use operator_reply::OperatorReply;
pub use peers::PeerView;
pub use planner::{plan, Condition, Health, Plan, PlanInput, PlannerState, WorldView};
pub use problem::{Outcome, Problem};
pub use request::{OnceClaim, Request, Stage};
pub use roll::PendingRoll;
pub use route::{GroupLoad, RoutePolicy};
pub use router_knobs::RouterKnobs;
pub use router_state::RouterState;
pub use status::{FleetStatus, GroupStatus};
pub(crate) use step::step;
pub use store_call::{Check, Put, StoreCall};
pub use store_result::{StoreChange, StoreEntry, StoreFault, StoreReply, StoreResult};
