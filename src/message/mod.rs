//! Messages between the processes of the system.
//!
//! Routers open sessions to agents and to other routers, and leaders to their members;
//! replies are sent on the same session. [`Message`] lists all messages.

mod attempt_end;
mod claim_key;
mod claim_record;
mod claim_verdict;
mod claim_write;
mod class_load;
mod head_reply;
mod lead_report;
mod lease_ask;
mod load_report;
mod message_kind;
mod once;
mod recall;
mod refusal;
mod report;
mod run_id;
mod run_order;

pub use attempt_end::AttemptEnd;
pub use claim_key::ClaimKey;
pub use claim_record::ClaimRecord;
pub use claim_verdict::ClaimVerdict;
pub use claim_write::ClaimWrite;
pub use class_load::ClassLoad;
pub use head_reply::HeadReply;
pub use lead_report::LeadReport;
pub use lease_ask::LeaseAsk;
pub use load_report::LoadReport;
pub use message_kind::Message;
pub use once::Once;
pub use recall::Recall;
pub use refusal::Refusal;
pub use report::Report;
pub use run_id::RunId;
pub use run_order::RunOrder;
