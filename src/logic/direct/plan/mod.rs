//! The planner: decides which endpoints form which groups.
//!
//! One router at a time is the planner, by a lease in the key-value service. The
//! existing groups are read from the endpoint list and not from any state of an
//! earlier planner, so that a new planner can continue its predecessor's work.
//!
//! `planner_lease` keeps the planner lease and `planning_pass` runs the planning pass.
//! `survey` reads the groups from the list, `probe` probes endpoints that may be lost,
//! `inspect` finds groups that need a repair, an orderly end or their next step, and
//! `form` and `retire` form and end groups by the orders that `order` sends.
//! `place` and `fill` decide which groups to form, `trade` which open group to end in
//! favour of others, and `stage` which models to load in advance, with `scheduled` where
//! the part `capacity` is on and `known_loads`, by which a new planner continues with the loads of
//! its predecessor. `halls` finds data halls that don't answer, and `repairs` measures how long lost
//! groups take to be replaced. `value` estimates
//! what groups are worth given the demand, `readiness` what a load in advance adds.
//! `confirmation` has endpoints confirm that they may join a group, `idle` reports endpoints that serve in no group, with the reason.

mod confirmation;
mod departures;
mod doubted_seat;
mod end_proof;
mod ending;
mod fill;
mod fleet_view;
mod form;
mod forming;
mod group_view;
mod halls;
mod idle;
mod idle_reason;
mod inspect;
mod known_loads;
mod load_budget;
mod load_pause;
mod mix;
mod model_load;
mod order;
mod order_queue;
mod place;
mod plan_state;
mod planner_lease;
mod planning_pass;
mod probe;
mod readiness;
mod repairs;
mod retire;
mod scheduled;
mod seat_key;
mod sent_order;
mod stage;
mod staging;
mod survey;
mod trade;
mod value;

pub use confirmation::Confirmation;
pub use doubted_seat::DoubtedSeat;
pub use ending::{EndingGroup, EndingStep};
pub use forming::FormingGroup;
pub use group_view::{GroupMember, GroupView};
pub use idle::IdleEndpoint;
pub use idle_reason::IdleReason;
pub use known_loads::KnownLoad;
pub use load_budget::LoadBudget;
pub use load_pause::LoadPause;
pub use order::OrderUse;
pub use order_queue::{OrderQueue, QueuedOrder};
pub use place::{place, PlacementInput, PlacementModel};
pub use plan_state::PlanState;
pub use planner_lease::{LeaseCall, PlannerLease};
pub use probe::ProbeState;
pub use repairs::Repairs;
pub use seat_key::SeatKey;
pub use sent_order::SentOrder;
pub use staging::StagedLoad;

use end_proof::EndProof;

pub(super) use confirmation::await_report;
pub(super) use form::{apply_known_seat, is_forming, is_member};
pub(super) use known_loads::{on_loads_reported, reported_loads};
pub(super) use order::{
    on_order_result, request_sending as request_order_sending, send_queued as send_queued_orders,
};
pub(super) use planner_lease::{
    on_store_reply, on_store_restored, on_watch_changes, on_watch_lost,
};
pub(super) use planning_pass::{on_tick, request_pass};
pub(super) use probe::{on_head_suspected, on_observation, on_probe_result};
pub(super) use retire::{is_in_retired_group, on_endpoint_restarted};
