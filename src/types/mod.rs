//! Types shared by all other modules: ids, records and bundles.
//!
//! They hold data and check it; decisions are made in [`crate::logic`].

mod account_spec;
mod approval;
mod brief;
mod bundle;
mod bundle_body;
mod bundle_fault;
mod caller_limits;
mod class_spec;
mod domain_record;
mod endpoint_entry;
mod engine_model;
mod engine_spec;
mod group_id;
mod group_record;
mod group_role;
mod group_seat;
mod head;
mod http_status;
mod instance;
mod instance_id;
mod instance_state;
mod keyed_account;
mod measure;
mod member;
mod missing_value;
mod model_kind;
mod model_spec;
mod phase;
mod request_id;
mod request_rate;
mod route_kind;
mod route_spec;
mod routing;
mod seat_state;
mod service_spec;
mod store_position;

pub use account_spec::AccountSpec;
pub use approval::Approval;
pub use brief::Brief;
pub use bundle::Bundle;
pub use bundle_body::BundleBody;
pub use bundle_fault::BundleFault;
pub use caller_limits::CallerLimits;
pub use class_spec::ClassSpec;
pub use domain_record::DomainRecord;
pub(crate) use endpoint_entry::check_address;
pub use endpoint_entry::EndpointEntry;
pub use engine_model::EngineModel;
pub use engine_spec::EngineSpec;
pub use group_id::GroupId;
pub use group_record::GroupRecord;
pub use group_role::GroupRole;
pub use group_seat::GroupSeat;
pub use head::Head;
pub(crate) use http_status::is_final_status;
pub use instance::Instance;
pub use instance_id::InstanceId;
pub use instance_state::InstanceState;
pub use keyed_account::KeyedAccount;
pub use measure::Measure;
pub use member::Member;
pub use missing_value::MissingValue;
pub use model_kind::ModelKind;
pub use model_spec::{ModelSpec, MAX_INSTANCES, MIN_INSTANCES};
pub use phase::Phase;
pub use request_id::RequestId;
pub use request_rate::RequestRate;
pub use route_kind::RouteKind;
pub use route_spec::RouteSpec;
pub use routing::Routing;
pub use seat_state::SeatState;
pub use service_spec::ServiceSpec;
pub use store_position::StorePosition;

/// Milliseconds on the monotonic clock of one process.
///
/// Values of different processes can't be compared: messages carry durations, or echo a
/// value to the process that it came from.
pub type Millis = u64;
