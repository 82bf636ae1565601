//! Decisions of a router that reaches endpoints by direct links.
//!
//! There are no agents beside the endpoints here: engines maintain their groups themselves, and
//! the platform lists them. A request passes through `accept`, `choose`, `send`, `answer` and
//! `finish`. `silence` detects silent endpoints and `crashes` detects requests that crash them.
//! `admission` decides which requests get room where not all have it. `limits` keeps to what endpoints
//! set themselves, `leaving` keeps requests from those that announce their end, and `evacuation` from halls
//! that operators evacuate.
//! `returns` tells refused callers when there will be room for them.
//! `list_start` gets the endpoint list after a start.
//! `capacity` decides which capacity is prepared.
//! `plan` forms and repairs groups while this router holds the planner lease, and `digests`
//! broadcasts what the planner has read to all routers.

pub mod admission;
pub mod capacity;
pub mod crashes;
pub mod limits;
pub mod plan;
pub mod returns;

mod accept;
mod answer;
mod arrivals;
mod attribution;
mod choose;
mod demand;
mod demand_shares;
mod digest;
mod digest_part;
mod digest_state;
mod digests;
mod direct_effect;
mod direct_event;
mod direct_params;
mod direct_request;
mod direct_state;
mod encoded_size;
mod endpoint_report;
mod endpoint_update;
mod endpoint_view;
mod endpoints;
mod evacuated_halls;
mod evacuation;
mod excess;
mod feature_mode;
mod features;
mod fingerprint;
mod finish;
mod group_order;
mod hall_change;
mod in_flight_request;
mod keys_source;
mod leaving;
mod life_sign;
mod list_change;
mod list_log;
mod list_pace;
mod list_snapshot;
mod list_start;
mod mechanism;
mod model_demand;
mod moves;
mod observation;
mod observation_request;
mod order_result;
mod peer_message;
mod peers;
mod probe_result;
mod problem;
mod process_pause;
mod recent_peak;
mod refusal;
mod restart_claim;
mod restart_claims;
mod resume;
mod retry_bounds;
mod retry_window;
mod routing_age;
mod run_part;
mod run_request;
mod send;
mod shutdown_stage;
mod silence;
mod step;
mod store_restore;
mod tree;
mod update_batch;

pub(crate) use accept::is_refused_by_head;
pub use admission::{AccountUse, AdmissionState, Precedence, QueueKey, WaitQueue};
pub use demand::Demand;
pub use demand_shares::DemandShares;
pub use digest::Digest;
pub use digest_state::DigestState;
pub use direct_effect::DirectEffect;
pub use direct_event::DirectEvent;
pub use direct_params::DirectParams;
pub use direct_request::DirectRequest;
pub use direct_state::DirectState;
pub use endpoint_report::EndpointReport;
pub use endpoint_update::EndpointUpdate;
pub use endpoint_view::EndpointView;
pub use evacuated_halls::EvacuatedHalls;
pub use excess::Excess;
pub use feature_mode::FeatureMode;
pub use features::Features;
pub use fingerprint::Fingerprint;
pub use group_order::{GroupOrder, GroupStep};
pub use hall_change::HallChange;
pub use in_flight_request::{InFlightRequest, Run};
pub use keys_source::KeysSource;
pub use life_sign::LifeSign;
pub use limits::{ColdPhase, HoldOffPhase, NamedBefore, PacedShare, RateShare};
pub use list_change::ListChange;
pub use list_log::ListLog;
pub use list_pace::ListPace;
pub use list_snapshot::ListSnapshot;
pub use list_start::snapshot;
pub use list_start::ListStart;
pub use mechanism::Mechanism;
pub use model_demand::ModelDemand;
pub use observation::Observation;
pub use observation_request::ObservationRequest;
pub use order_result::OrderResult;
pub use peer_message::PeerMessage;
pub use peers::Registration;
pub use probe_result::ProbeResult;
pub use problem::Problem;
pub use process_pause::RoutingRecheck;
pub use recent_peak::RecentPeak;
use refusal::Refusal;
pub use restart_claim::RestartClaim;
pub use retry_bounds::RetryBounds;
pub use retry_window::RetryWindow;
pub use run_part::RunPart;
pub use run_request::RunRequest;
pub use shutdown_stage::ShutdownStage;
pub(crate) use step::step;
pub use update_batch::UpdateBatch;
