//! Planning the groups of one data hall while its planner lease is held.
//!
//! [`plan`] is a pure function of what is known about one fabric domain. The code around it
//! renews the lease, gathers the input and writes the records.

mod condition;
mod duty;
mod form;
mod health;
mod plan;
mod plan_input;
mod planner_state;
mod repair;
mod retire;
mod survey;
mod world_view;

pub(super) use duty::{add_planner_sessions, on_store_reply, on_tick};

pub use condition::Condition;
pub use health::Health;
pub use plan::{plan, Plan};
pub use plan_input::PlanInput;
pub use planner_state::PlannerState;
pub use world_view::WorldView;
