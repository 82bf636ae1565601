//! Vocabulary shared by every other module: ids, records and bundles.
//!
//! Nothing here decides anything; see [`crate::logic`] for decisions.

mod account_spec;
mod approval;
mod brief;
mod bundle;
mod bundle_body;
mod bundle_fault;
mod class_spec;
mod domain_record;
mod group_id;
mod group_record;
mod group_role;
mod head;
mod instance;
mod instance_id;
mod instance_state;
mod measure;
mod member;
mod model_kind;
mod model_spec;
mod phase;
mod request_id;

pub use account_spec::AccountSpec;
pub use approval::Approval;
pub use brief::Brief;
pub use bundle::Bundle;
pub use bundle_body::BundleBody;
pub use bundle_fault::BundleFault;
pub use class_spec::ClassSpec;
pub use domain_record::DomainRecord;
pub use group_id::GroupId;
pub use group_record::GroupRecord;
pub use group_role::GroupRole;
pub use head::Head;
pub use instance::Instance;
pub use instance_id::InstanceId;
pub use instance_state::InstanceState;
pub use measure::Measure;
pub use member::Member;
pub use model_kind::ModelKind;
pub use model_spec::{ModelSpec, MAX_INSTANCES, MIN_INSTANCES};
pub use phase::Phase;
pub use request_id::RequestId;

/// Milliseconds on the monotonic clock of one process.
///
/// Values of two processes can't be compared; only durations cross the wire.
pub type Millis = u64;
