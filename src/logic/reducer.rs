use super::{agent, direct, router, Effect, Event, Node};
use crate::types::Millis;

/// Applies one event to a node and returns the effects to carry out.
///
/// `now` is the time of the node's monotonic clock in milliseconds.
pub fn step(node: &mut Node, now: Millis, event: Event) -> Vec<Effect> {
    let mut out = Vec::new();
    match node {
        Node::Router(state) => router::step(state, now, event, &mut out),
        Node::Agent(state) => agent::step(state, now, event, &mut out),
        Node::Direct(state) => direct::step(state, now, event, &mut out),
    }
    out
}
