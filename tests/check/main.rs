//! Model check of the protocol: explores small systems that run the product's own `step`.
//!
//! Each of `bundles`, `claims` and `groups` is one model: which events may happen in a
//! state, and which invariants must hold in every state. Each model also checks that an
//! invariant breaks when a safety rule it needs is switched off.

mod bundles;
mod claims;
mod explore;
mod groups;
mod hashed;
