//! Pure decisions: one reducer over all events, with effects as data.
//!
//! [`step`] takes a [`Node`], the time and an [`Event`] and returns
//! [`Effect`]s. It has no clock, no input or output and no threads; random
//! numbers come from a seed in the state. The same code runs in the process,
//! in the model check and in the benches.

pub mod agent;
pub mod direct;
pub mod router;

mod effect;
mod endpoint_call;
mod endpoint_event;
mod event;
mod load_order;
mod node;
mod note;
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
pub use node::Node;
pub use note::{Note, NoteCode};
pub use peer::Peer;
pub use peer_role::PeerRole;
pub use reducer::step;
pub use rules::Rules;
pub use run_result::RunResult;
pub use start_order::StartOrder;
