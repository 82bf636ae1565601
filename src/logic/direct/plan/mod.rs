//! The planner's duty: which endpoints form which groups.
//!
//! One router holds it at a time, by a lease in the key-value service. What
//! groups there are is read from the list, never from memory of an earlier
//! planner, so that whoever takes over goes on where the other one was.
//! `survey` reads the groups, `inspect` finds those that need something,
//! `form` and `retire` carry changes out, `place` and `fill` decide what to
//! form, `trade` what to give up for others, `stage` what is loaded in advance.
//! `value` says what groups are worth by what callers ask for, `cover` what a load
//! adds; `idle` tells who serves in no group, and why.

mod cover;
mod duty;
mod ending;
mod fill;
mod fleet_view;
mod form;
mod forming;
mod group_view;
mod idle;
mod idle_reason;
mod inspect;
mod load_budget;
mod look;
mod mix;
mod model_load;
mod order;
mod place;
mod plan_state;
mod retire;
mod stage;
mod staging;
mod survey;
mod tend;
mod trade;
mod value;

pub use duty::{Duty, DutyCall};
pub use ending::{Ending, EndingStep};
pub use forming::Forming;
pub use group_view::{GroupView, Seat};
pub use idle::Idle;
pub use idle_reason::IdleReason;
pub use load_budget::LoadBudget;
pub use look::Look;
pub use order::OrderUse;
pub use place::{place, PlaceInput, PlaceModel};
pub use plan_state::PlanState;
pub use staging::Staging;

pub(super) use duty::{answered, changed, restored, unwatched};
pub(super) use form::corrected;
pub(super) use look::{looked, seen, suspect};
pub(super) use order::ordered;
pub(super) use retire::{given_up, started_again};
pub(super) use tend::tend;
