//! Planning the groups of one data hall while its planner lease is held.
//!
//! [`plan`] is a pure function of what is known about one fabric domain. The code around it
//! renews the lease, gathers the input and writes the records.

mod fleet_view;
mod form;
mod group_condition;
mod instance_health;
mod model_counts;
mod plan;
mod plan_input;
mod planner_state;
mod planning_pass;
mod repair;
mod retire;

pub(super) use planning_pass::{add_planner_sessions, on_store_reply, on_tick};

pub use group_condition::GroupCondition;
pub use instance_health::InstanceHealth;
pub use model_counts::ModelCounts;
pub use plan::{plan, Plan};
pub use plan_input::PlanInput;
pub use planner_state::PlannerState;
