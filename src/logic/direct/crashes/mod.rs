//! Requests, and segments of prompts, that crash the endpoints that run them.
//!
//! A run that breaks off before its first event makes its request a suspect, and its
//! endpoint is probed. If that has crashed, the crash is counted against the request, at all
//! routers. A request with `MIN_BLOCKING_CRASHES` crashes isn't sent.
//!
//! A crash breaks off all runs of the endpoint, so that other requests are suspected as well.
//! They are unlikely to run at the endpoint of the next crash too, and are cleared once they
//! are answered in full.
//!
//! Crashes show what was there, not what caused them, so that no request is refused for good: callers
//! are told to come back, and one request at a time is tried alone, by the planner's leave. An answer
//! clears it. After a crash the next trial waits longer each time. It waits less for a segment, and for a
//! request whose crashes came together, where chance may explain them: other endpoints failed at about the
//! same times, or another suspect was at the trial.
//!
//! Requests that share a segment of their prompts may crash endpoints though no two are alike, so that
//! crashes count against the segments as well: a *cause* is a request or a segment. A segment is cleared
//! by any answer to a request with it that begins.

mod broadcast;
mod clearing;
mod crash;
mod crash_record;
mod crash_report;
mod crash_state;
mod crash_store;
mod crash_table;
mod detect;
mod recently_served;
mod suspected_crash;
mod trial;
mod trial_delay;
mod trial_grants;
mod trials;
mod verdict;

pub use crash::Crash;
pub use crash_record::CrashRecord;
pub use crash_report::CrashReport;
pub use crash_state::{CrashState, CrashStore};
pub use crash_table::CrashTable;
pub use recently_served::RecentlyServed;
pub use suspected_crash::SuspectedCrash;
pub use trial::Trial;
pub use trial_grants::TrialGrants;
pub use verdict::Verdict;

pub(super) use broadcast::on_crash_reports;
pub(super) use clearing::{on_answer_begun, on_answered};
pub(super) use crash_store::{
    on_store_entries, on_store_reply, on_store_restored, on_watch_changes,
};
pub(super) use detect::{is_risky, on_probe_result, on_run_broken, on_tick, refusal};
pub(super) use trial_grants::{on_trial_asked, on_trial_granted};
pub(super) use trials::{is_withheld, WHY_HELD};

/// Why a request isn't sent, or not again, under which endpoints have crashed.
pub(super) const WHY_CRASHES: &str = "endpoints crashed while running it";

/// Number of crashes from which on a request is risky: only one of its kind is in flight at a
/// time, and no router retries it after a run that may have begun.
const MIN_RISKY_CRASHES: usize = 2;

/// Number of crashes from which on a request is only sent as a trial.
pub(super) const MIN_BLOCKING_CRASHES: usize = 3;
