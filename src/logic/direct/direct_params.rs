use std::collections::BTreeSet;

use super::{FeatureMode, Features, Mechanism};
use crate::types::{EngineSpec, Millis};

/// Parameters of a router with direct links.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DirectParams {
    /// Shortest length of the planner lease; it is longer for large fleets.
    pub lease_ms: Millis,
    /// Usual time between two planning passes. It is longer for large fleets; a lost or restarted
    /// endpoint brings the next pass forward.
    pub planning_ms: Millis,
    /// Shortest silence after which a head that has work counts as silent.
    pub silence_ms: Millis,
    /// Longest backoff from an endpoint after failures in a row; the first is a quarter of it.
    pub backoff_ms: Millis,
    /// Time after which an order that had no effect is sent again.
    pub reorder_ms: Millis,
    /// Retries per thousand requests. Each router keeps to it for its own requests, so that all
    /// together do.
    pub retry_ratio: u64,
    /// Retries that all routers together may make beyond those, in thousandths.
    pub retry_extra: u64,
    /// Length of the window over which requests and retries are counted, in milliseconds.
    pub retry_window: Millis,
    /// What a cold endpoint may get in a second: its rate times this, in thousandths.
    pub cold_overage: u64,
    /// What it may get in a second beyond that, in thousandths of a request.
    pub cold_slack: u64,
    /// Time from the order to shut down until the process must have ended.
    pub grace_ms: Millis,
    /// Longest time for which the store holds a watch of the routing without changes, in milliseconds.
    pub routing_ms: Millis,
    /// Usual shortest time after which a refused caller is told to come back.
    pub again_ms: Millis,
    /// Optional parts of the policy.
    pub features: Features,
    /// Mechanisms that are switched off, to measure their effect.
    pub disabled: BTreeSet<Mechanism>,
}

impl DirectParams {
    /// Whether a mechanism is switched on.
    pub(crate) fn is_enabled(&self, mechanism: Mechanism) -> bool {
        !self.disabled.contains(&mechanism)
    }

    /// Whether an optional part of the policy takes effect for a service with this engine, if it
    /// has one.
    pub fn is_active(&self, part: Mechanism, engine: Option<&EngineSpec>) -> bool {
        let is_called_for = match self.features.mode(part) {
            FeatureMode::Off => false,
            FeatureMode::Auto => engine.is_some_and(EngineSpec::is_contended),
            FeatureMode::On => true,
        };
        let has_whole = part != Mechanism::Trend || self.is_active(Mechanism::Capacity, engine);
        is_called_for && has_whole && self.is_enabled(part)
    }
}

impl Default for DirectParams {
    fn default() -> Self {
        Self {
            lease_ms: 1_000,
            planning_ms: 50,
            silence_ms: 240,
            backoff_ms: 1_000,
            reorder_ms: 700,
            retry_ratio: 200,
            retry_extra: 160_000,
            retry_window: 10_000,
            cold_overage: 1_000,
            cold_slack: 1_000,
            grace_ms: 8_000,
            routing_ms: 2_000,
            again_ms: 400,
            features: Features::default(),
            disabled: BTreeSet::new(),
        }
    }
}
