//! Admission: which of the requests that wait for the same endpoints get room, and how much room there
//! is.

pub(in crate::logic::direct) mod concurrency_limit;
pub(in crate::logic::direct) mod queue;

mod precedence;
mod queue_key;
mod wait_queue;

pub use precedence::Precedence;
pub use queue_key::QueueKey;
pub use wait_queue::WaitQueue;
