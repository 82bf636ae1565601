//! Planning the groups of one data hall while its planner lease is held.
//!
//! [`plan`] is a pure function over what is known of one fabric domain; the
//! duty around it holds the lease, gathers that knowledge and writes records.

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

pub(super) use duty::{add_wanted, answered, tend};

pub use condition::Condition;
pub use health::Health;
pub use plan::{plan, Plan};
pub use plan_input::PlanInput;
pub use planner_state::PlannerState;
pub use world_view::WorldView;
