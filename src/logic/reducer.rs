use super::{agent, direct, router, Effect, Event, Node};
use crate::types::Millis;

/// Applies one event to a node and returns what is to be done.
///
/// `now` is the node's monotonic clock in milliseconds and never goes back.
pub fn step(node: &mut Node, now: Millis, event: Event) -> Vec<Effect> {
    let mut out = Vec::new();
    match node {
        Node::Router(state) => router::step(state, now, event, &mut out),
        Node::Agent(state) => agent::step(state, now, event, &mut out),
        Node::Direct(state) => direct::step(state, now, event, &mut out),
    }
    out
}
