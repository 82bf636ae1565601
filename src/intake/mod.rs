//! Connections of clients: accepts them within limits and reads the bodies of their requests.
//!
//! What gives way at a limit is decided by [`crate::logic::intake`].

mod body_fault;
mod body_limits;
mod client_stream;
mod connection;
mod descriptors;
mod gate;
mod limit_counts;
mod place;
mod request_body;
mod served_body;
mod unread;

pub(crate) use body_fault::BodyFault;
pub(crate) use body_limits::BodyLimits;
use client_stream::ClientStream;
pub(crate) use connection::{closing, Connection};
pub(crate) use descriptors::process_descriptors;
pub(crate) use gate::Gate;
pub(crate) use limit_counts::LimitCounts;
pub(crate) use place::{Place, Serving};
pub(crate) use request_body::read_body;
pub(crate) use served_body::ServedBody;
use unread::drain_unread;
