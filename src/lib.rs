//! Serving system for large models whose replicas span several instances.
//!
//! The crate is one binary with two roles. A *router* runs on each entry instance,
//! an *agent* beside each endpoint; routers with direct links need no agents. All
//! decisions are made by one reducer without input or output, [`logic::step`]; the
//! other modules carry out the effects that it returns.

pub mod cli;
pub mod endpoint;
pub mod etcd;
pub mod host;
pub mod http;
mod intake;
pub mod link;
pub mod logic;
pub mod message;
pub mod observe;
#[path = "../platform/mod.rs"]
pub mod platform;
pub mod settings;
pub mod types;
pub mod wire;
