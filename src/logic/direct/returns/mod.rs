//! Returns: tells refused callers when there will be room for them, and lets those that come back then
//! go before fresh requests of their priority.
//!
//! `forecast` estimates the capacity of a pool over the next seconds from what this router has sent
//! there, and `appointment` gives each refused request the earliest free slot of it. The rate is this
//! router's own, and so are the appointments that it remembers.

mod appointment;
mod appointment_table;
mod capacity_forecast;
mod forecast;
mod opening;
mod pool_key;
mod return_bounds;
mod returns_state;
mod send_rate;

pub use appointment_table::AppointmentTable;
pub use capacity_forecast::CapacityForecast;
pub use opening::Opening;
pub use pool_key::PoolKey;
pub use return_bounds::ReturnBounds;
pub use returns_state::ReturnsState;
pub use send_rate::SendRate;

pub(in crate::logic::direct) use appointment::{on_arrival, on_refused, on_sent, on_tick};

use crate::types::Millis;

/// How long after its appointment a request is still in time for it: a caller's timer and its way to
/// the router take a part of that.
pub(in crate::logic::direct) const RETURN_WINDOW_MS: Millis = 500;
