//! Decisions of a router, the process on an entry instance.
//!
//! A router admits callers' requests, sends them to groups, tracks their outcome and answers
//! operators. One router of each data hall also plans that hall's groups while it holds the hall's
//! planner lease.

mod admission;
mod agent_view;
mod agents;
mod answer_part;
mod attempts;
mod budget;
mod caller_request;
mod calls;
mod claim_batch;
mod claim_query;
mod claim_writers;
mod claims;
mod finish;
mod fleet;
mod fleet_status;
mod group_status;
mod head;
mod key_write;
mod keys;
mod list_reply;
mod metric;
mod operator;
mod operator_call;
mod operator_reply;
mod outcome;
mod peers;
mod planner;
mod problem;
mod request;
mod revision_check;
mod roll;
mod route;
mod router_params;
mod router_state;
mod status;
mod step;
mod store_call;
mod store_change;
mod store_entry;
mod store_fault;
mod store_reply;
mod store_result;

pub use agent_view::AgentView;
pub use answer_part::AnswerPart;
pub use budget::RetryBudget;
pub use caller_request::CallerRequest;
pub use calls::{CallId, CallPurpose};
pub use claim_batch::{ClaimBatch, ForwardedClaim, QueuedClaim};
pub use fleet::Fleet;
pub use fleet_status::FleetStatus;
pub use group_status::GroupStatus;
pub use head::HeadView;
pub use key_write::KeyWrite;
pub use keys::Keys;
pub use list_reply::ListReply;
pub use metric::Metric;
pub use operator_call::OperatorCall;
pub use operator_reply::OperatorReply;
pub use outcome::Outcome;
pub use peers::PeerView;
pub use planner::{
    plan, GroupCondition, InstanceHealth, ModelCounts, Plan, PlanInput, PlannerState,
};
pub use problem::Problem;
pub use request::{ClaimState, Request, Stage};
pub use revision_check::RevisionCheck;
pub use roll::PendingRoll;
pub use route::{GroupLoad, RoutePolicy};
pub use router_params::RouterParams;
pub use router_state::RouterState;
pub(crate) use step::step;
pub use store_call::StoreCall;
pub use store_change::StoreChange;
pub use store_entry::StoreEntry;
pub use store_fault::StoreFault;
pub use store_reply::StoreReply;
pub use store_result::StoreResult;
