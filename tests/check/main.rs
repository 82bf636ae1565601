//! Exhaustive check of the protocol over the real reducer, for small sizes.
//!
//! Each module holds one model: what may happen, and what must always hold.
//! A mutation switches one safety rule off; the check must then fail.

mod bundles;
mod claims;
mod explore;
mod groups;
mod hashed;
