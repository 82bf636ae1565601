//! Requests that crash the endpoints that run them.
//!
//! A run that breaks off before its first event makes its request a suspect, and its
//! endpoint is looked at. Where that has died, the crash is counted against the request,
//! at all routers. A request with as many crashes as [`CRASHES`] is refused.
//!
//! Others are suspected with it, as a crash ends all that had just begun there. They are
//! unlikely to be there again at another crash, and a whole answer clears them.

mod crash;
mod crash_record;
mod crash_report;
mod crash_state;
mod crash_table;
mod doubt;
mod keep;
mod recently_served;
mod share;
mod suspect;

pub use crash::Crash;
pub use crash_record::CrashRecord;
pub use crash_report::CrashReport;
pub use crash_state::{CrashState, Keep};
pub use crash_table::CrashTable;
pub use doubt::Doubt;
pub use recently_served::RecentlyServed;

pub(super) use keep::{answered, changed, read, restored};
pub(super) use share::told;
pub(super) use suspect::{broke, is_risky, looked, refusal, survived, tend};

/// Crashes of endpoints after which a request is refused.
pub(super) const CRASHES: usize = 3;
