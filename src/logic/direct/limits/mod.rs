//! Limits that endpoints set themselves: request rates and cold phases, which are divided among the
//! routers, and hold-offs.

pub(in crate::logic::direct) mod cold;
pub(in crate::logic::direct) mod hold_off;
pub(in crate::logic::direct) mod named_before;
pub(in crate::logic::direct) mod rate_limit;

mod cold_phase;
mod hold_off_phase;
mod holders;
mod paced_share;
mod rate_share;

pub use cold_phase::ColdPhase;
pub use hold_off_phase::HoldOffPhase;
pub use named_before::NamedBefore;
pub use paced_share::PacedShare;
pub use rate_share::RateShare;
