//! Decisions of a router that reaches endpoints by direct links.
//!
//! There are no agents beside the endpoints here: engines maintain their groups themselves, and
//! the platform lists them. A request passes through `accept`, `choose`, `send`, `answer` and
//! `end`. `silence` detects silent endpoints and `crashes` detects requests that crash them.
//! `plan` forms and repairs groups while this router holds the planner lease, and `digests`
//! broadcasts what the planner has read to all routers.

pub mod crashes;
pub mod plan;

mod accept;
mod answer;
mod arrivals;
mod asked;
mod choose;
mod demand;
mod digest;
mod digest_part;
mod digest_state;
mod digests;
mod direct_effect;
mod direct_event;
mod direct_knobs;
mod direct_request;
mod direct_state;
mod end;
mod end_stage;
mod endpoint_view;
mod endpoints;
mod entry_news;
mod fingerprint;
mod flight;
mod group_order;
mod limit;
mod line;
mod line_key;
mod list_pace;
mod look_result;
mod mechanism;
mod model_demand;
mod news_batch;
mod order_result;
mod pause;
mod peer_message;
mod peers;
mod problem;
mod queue;
mod rate_share;
mod rates;
mod recent_peak;
mod retry_terms;
mod retry_window;
mod run_part;
mod run_request;
mod send;
mod sight;
mod silence;
mod step;
mod store;
mod tree;
mod turn;

pub use asked::Asked;
pub use demand::Demand;
pub use digest::Digest;
pub use digest_state::DigestState;
pub use direct_effect::DirectEffect;
pub use direct_event::DirectEvent;
pub use direct_knobs::DirectKnobs;
pub use direct_request::DirectRequest;
pub use direct_state::DirectState;
pub use end_stage::EndStage;
pub use endpoint_view::EndpointView;
pub use entry_news::EntryNews;
pub use fingerprint::Fingerprint;
pub use flight::{Flight, Run};
pub use group_order::{GroupOrder, GroupStep};
pub use line::Line;
pub use line_key::LineKey;
pub use list_pace::ListPace;
pub use look_result::LookResult;
pub use mechanism::Mechanism;
pub use model_demand::ModelDemand;
pub use news_batch::NewsBatch;
pub use order_result::OrderResult;
pub use pause::PauseState;
pub use peer_message::PeerMessage;
pub use peers::Presence;
pub use problem::Problem;
pub use rate_share::RateShare;
pub use recent_peak::RecentPeak;
pub use retry_terms::RetryTerms;
pub use retry_window::RetryWindow;
pub use run_part::RunPart;
pub use run_request::RunRequest;
pub use sight::Sight;
pub(crate) use step::step;
pub use turn::Turn;
