//! The decisions of all processes, as one reducer without side effects.
//!
//! [`step`] takes a [`Node`], the time and an [`Event`], and returns the
//! [`Effect`]s that the host has to carry out. It has no clock, no input or
//! output and no threads, and draws random numbers from a seed in the state, so
//! that the same code runs in the process, in the model check and in the benches.

pub mod agent;
pub mod direct;
pub mod intake;
pub mod router;

mod effect;
mod endpoint_call;
mod endpoint_event;
mod event;
mod load_order;
mod log_event;
mod node;
mod peer;
mod peer_role;
mod reducer;
mod rules;
mod run_result;
mod start_order;

pub use effect::Effect;
pub use endpoint_call::EndpointCall;
pub use endpoint_event::EndpointEvent;
pub use event::Event;
pub use load_order::LoadOrder;
pub use log_event::{LogCode, LogEvent};
pub use node::Node;
pub use peer::Peer;
pub use peer_role::PeerRole;
pub use reducer::step;
pub use rules::Rules;
pub use run_result::RunResult;
pub use start_order::StartOrder;
