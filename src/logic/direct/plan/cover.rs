//! What it is worth to have one more endpoint of a domain ready for a model.
//!
//! A load from the weight store takes longer than instances live between two deaths
//! of a large group's members, so what is loaded in advance decides what can be formed
//! afterwards. Two things speak for a load: free endpoints that lack others to be a
//! group, and groups that have nobody to take the place of a member that dies.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::fleet_view::counts;
use super::value::{needs, readiness, ModelNeed, COLD};
use super::{fill, survey};
use crate::logic::direct::DirectState;
use crate::types::{EngineSpec, InstanceId, Millis};

/// Span over which deaths are counted: about ten of them at the rates seen so far.
const DEATHS_MS: Millis = 30_000;

/// Worth of an endpoint that is ready in a group of another model, against a free one:
/// its group has to be given up first, and it may be needed where it is.
const SEATED: f64 = 0.5;

/// Times the load's own time for which its chance to be used is reckoned: it is of use
/// after the load, for about as long again.
const HORIZON: f64 = 2.0;

/// Readiness of one domain for one model.
#[derive(Clone, Copy, Debug, Default)]
struct Ready {
    /// Instances in groups of the model.
    members: usize,
    /// Free endpoints that are ready for it, or load it.
    free: usize,
    /// Endpoints in groups of other models that are ready for it, or load it.
    seated: usize,
}

/// Readiness of a service's domains for its models.
pub(super) struct Cover {
    /// Its engines.
    pub(super) engine: EngineSpec,
    needs: Vec<ModelNeed>,
    counts: Vec<usize>,
    /// Chance of one instance to die in a second.
    deaths: f64,
    domains: BTreeMap<Arc<str>, Vec<Ready>>,
}

impl Cover {
    /// What is ready now; nothing where the service has no engines.
    pub(super) fn of(state: &DirectState, now: Millis, service: &Arc<str>) -> Option<Self> {
        let engine = fill::engine(state, service)?;
        let mut cover = Self {
            needs: needs(state, now, &engine),
            counts: counts(state, service, &engine),
            deaths: 0.0,
            domains: BTreeMap::new(),
            engine,
        };
        let mut all = 0usize;
        for (id, view) in &state.endpoints {
            if view.entry.service != *service || !survey::usable(state, id, view) {
                continue;
            }
            all += 1;
            let group = survey::model_of(state, id, view);
            for m in 0..cover.engine.models.len() {
                let name = &cover.engine.models[m].name;
                let loads = state.plan.staging.get(id).is_some_and(|s| s.model == *name);
                let serves = loads || readiness(state, id, name) < COLD;
                let member = group.as_ref() == Some(name);
                let ready = cover.ready(&view.entry.domain, m);
                match &group {
                    _ if member => ready.members += 1,
                    None if serves => ready.free += 1,
                    Some(_) if serves => ready.seated += 1,
                    _ => {}
                }
            }
        }
        cover.deaths = death_rate(state, now) / all.max(1) as f64;
        Some(cover)
    }

    fn ready(&mut self, domain: &Arc<str>, model: usize) -> &mut Ready {
        let models = self.engine.models.len();
        let domain = self.domains.entry(domain.clone());
        &mut domain.or_insert_with(|| vec![Ready::default(); models])[model]
    }

    /// What one more endpoint of a domain that is ready for a model adds, as a part of
    /// what the service does.
    pub(super) fn value(&self, domain: &Arc<str>, model: usize, free: bool) -> f64 {
        let ready = self.domains.get(domain).map(|all| all[model]);
        let ready = ready.unwrap_or_default();
        let part = if free { 1.0 } else { SEATED };
        let spec = &self.engine.models[model];
        let there = ready.free as f64 + ready.seated as f64 * SEATED;
        let (need, n) = (&self.needs[model], self.counts[model]);
        let gain = need.served(n + 1) - need.served(n);
        let size = spec.size.max(1) as f64;
        let progress = |there: f64| (there.min(size) / size).powi(2);
        let completes = gain * (progress(there + part) - progress(there));
        let loss = need.served(n) - need.served(n.saturating_sub(1));
        let horizon = spec.load_ms as f64 / 1_000.0 * HORIZON;
        let hit = 1.0 - (-self.deaths * horizon * ready.members as f64).exp();
        let insures = loss * hit * part / (1.0 + there).powi(2);
        completes + insures
    }

    /// An endpoint of a domain was told to load a model.
    pub(super) fn loads(&mut self, domain: &Arc<str>, model: usize, free: bool) {
        let ready = self.ready(domain, model);
        if free {
            ready.free += 1;
        } else {
            ready.seated += 1;
        }
    }

    /// Whether no group of the service stands yet.
    pub(super) fn empty(&self) -> bool {
        self.counts.iter().all(|n| *n == 0)
    }
}

/// Instances that die in a second, as far as seen; one more than was seen, as none in
/// a short time says little.
pub(super) fn death_rate(state: &DirectState, now: Millis) -> f64 {
    let recent = |at: &&Millis| now < **at + DEATHS_MS;
    let seen = state.plan.deaths.iter().filter(recent).count();
    (seen + 1) as f64 * 1_000.0 / DEATHS_MS as f64
}

/// Remembers that an endpoint of an engine was lost.
pub(super) fn died(state: &mut DirectState, now: Millis) {
    state.plan.deaths.retain(|at| now < at + DEATHS_MS);
    state.plan.deaths.push_back(now);
}

/// Whether an endpoint is ready for a model, or loads it.
pub(super) fn has(state: &DirectState, id: &InstanceId, model: &Arc<str>) -> bool {
    let loads = state.plan.staging.get(id);
    loads.is_some_and(|s| s.model == *model) || readiness(state, id, model) < COLD
}
