//! The value of one more endpoint of a domain that is ready for a model.
//!
//! A load from the weight store takes longer than the usual time between two losses of
//! members of a large group, so the models loaded in advance decide which groups can be
//! formed afterwards. A load is of use in two cases: free endpoints are too few for a group,
//! or a group has no endpoint to replace a member that is lost.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::fleet_view::counts;
use super::value::{needs, readiness, ModelNeed, COLD};
use super::{fill, survey};
use crate::logic::direct::DirectState;
use crate::types::{EngineSpec, InstanceId, Millis};

/// Window over which losses are counted: at usual rates about ten fall into it.
const LOSS_WINDOW_MS: Millis = 30_000;

/// Worth of a ready endpoint in a group of another model, relative to a free one: its group
/// has to end first, and it may be needed where it is.
const SEATED_FACTOR: f64 = 0.5;

/// Time in which a loaded endpoint may replace a lost member, as a multiple of its load
/// time: it is of use after the load, for about as long again.
const HORIZON_FACTOR: f64 = 2.0;

/// Least value of loading a model, as a part of the service's worth: below it a load isn't worth
/// its cost.
pub(super) const MIN_LOAD_VALUE: f64 = 0.001;

/// Least value of one more group for which a domain's spares load its model. The value of the first
/// of its members is far less than its share of that.
const MIN_GROUP_VALUE: f64 = 0.005;

/// Readiness of one domain for one model.
#[derive(Clone, Copy, Debug, Default)]
struct DomainReadiness {
    /// Instances in groups of the model.
    members: usize,
    /// Free endpoints that are ready for it or load it.
    free: usize,
    /// Endpoints in groups of other models that are ready for it or load it.
    seated: usize,
}

/// Readiness of a service's domains for its models.
pub(super) struct ServiceReadiness {
    /// The service's engine.
    pub(super) engine: EngineSpec,
    needs: Vec<ModelNeed>,
    counts: Vec<usize>,
    /// Chance of one instance to be lost in a second.
    loss_rate: f64,
    domains: BTreeMap<Arc<str>, Vec<DomainReadiness>>,
}

impl ServiceReadiness {
    /// The current readiness; none for a service without an engine.
    pub(super) fn of(state: &DirectState, now: Millis, service: &Arc<str>) -> Option<Self> {
        let engine = fill::engine(state, service)?;
        let mut current = Self {
            needs: needs(state, now, &engine),
            counts: counts(state, service, &engine),
            loss_rate: 0.0,
            domains: BTreeMap::new(),
            engine,
        };
        let mut all = 0usize;
        for (id, view) in &state.endpoints {
            if view.entry.service != *service || !survey::is_usable(state, id, view) {
                continue;
            }
            all += 1;
            let group = survey::model_of(state, id, view);
            for m in 0..current.engine.models.len() {
                let name = &current.engine.models[m].name;
                let is_loading = state.plan.staging.get(id).is_some_and(|s| s.model == *name);
                let is_ready = is_loading || readiness(state, id, name) < COLD;
                let is_member = group.as_ref() == Some(name);
                let ready = current.entry(&view.entry.domain, m);
                match &group {
                    _ if is_member => ready.members += 1,
                    None if is_ready => ready.free += 1,
                    Some(_) if is_ready => ready.seated += 1,
                    _ => {}
                }
            }
        }
        current.loss_rate = loss_rate(state, now) / all.max(1) as f64;
        Some(current)
    }

    fn entry(&mut self, domain: &Arc<str>, model: usize) -> &mut DomainReadiness {
        let models = self.engine.models.len();
        let domain = self.domains.entry(domain.clone());
        &mut domain.or_insert_with(|| vec![DomainReadiness::default(); models])[model]
    }

    /// What one more endpoint of a domain that is ready for a model adds, as a part of the
    /// service's worth. `is_free` says whether the endpoint is in no group.
    pub(super) fn load_value(&self, domain: &Arc<str>, model: usize, is_free: bool) -> f64 {
        let ready = self.domains.get(domain).map(|all| all[model]);
        let ready = ready.unwrap_or_default();
        let part = if is_free { 1.0 } else { SEATED_FACTOR };
        let spec = &self.engine.models[model];
        let available = ready.free as f64 + ready.seated as f64 * SEATED_FACTOR;
        let (need, n) = (&self.needs[model], self.counts[model]);
        let gain = need.served(n + 1) - need.served(n);
        let size = spec.size.max(1) as f64;
        let progress = |endpoints: f64| (endpoints.min(size) / size).powi(2);
        let formation_value = gain * (progress(available + part) - progress(available));
        let loss = need.served(n) - need.served(n.saturating_sub(1));
        let horizon_s = spec.load_ms as f64 / 1_000.0 * HORIZON_FACTOR;
        let loss_chance = 1.0 - (-self.loss_rate * horizon_s * ready.members as f64).exp();
        let repair_value = loss * loss_chance * part / (1.0 + available).powi(2);
        formation_value + repair_value
    }

    /// Whether a spare of a domain that loads a model adds enough, in a group or as a replacement.
    pub(super) fn adds(&self, domain: &Arc<str>, model: usize) -> bool {
        let (need, n) = (&self.needs[model], self.counts[model]);
        let group_value = need.served(n + 1) - need.served(n);
        group_value >= MIN_GROUP_VALUE || self.load_value(domain, model, true) >= MIN_LOAD_VALUE
    }

    /// Counts an endpoint of a domain that was ordered to load a model.
    pub(super) fn add_load(&mut self, domain: &Arc<str>, model: usize, is_free: bool) {
        let ready = self.entry(domain, model);
        if is_free {
            ready.free += 1;
        } else {
            ready.seated += 1;
        }
    }

    /// Whether the service has no group, not even one that is being formed.
    pub(super) fn has_no_groups(&self) -> bool {
        self.counts.iter().all(|n| *n == 0)
    }
}

/// Instances lost in a second, by the losses within the window and one more: no loss within
/// a short time says little.
pub(super) fn loss_rate(state: &DirectState, now: Millis) -> f64 {
    let is_recent = |at: &&Millis| now < **at + LOSS_WINDOW_MS;
    let losses = state.plan.recent_losses.iter().filter(is_recent).count();
    (losses + 1) as f64 * 1_000.0 / LOSS_WINDOW_MS as f64
}

/// Counts the loss of an endpoint.
pub(super) fn on_endpoint_lost(state: &mut DirectState, now: Millis) {
    state
        .plan
        .recent_losses
        .retain(|at| now < at + LOSS_WINDOW_MS);
    state.plan.recent_losses.push_back(now);
}

/// Whether an endpoint is ready for a model, or was ordered to load it.
pub(super) fn is_ready_or_loading(state: &DirectState, id: &InstanceId, model: &Arc<str>) -> bool {
    let staging = state.plan.staging.get(id);
    staging.is_some_and(|s| s.model == *model) || readiness(state, id, model) < COLD
}
