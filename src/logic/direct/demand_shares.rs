//! Which part of the demand of all routers comes to this one.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::admission::WHOLE_PPM;
use super::arrivals::ModelArrivals;
use super::demand::{self, REQUEST_MILLI, SLOT_MS};
use super::DirectState;
use crate::types::Millis;

/// Slots over which this router's own part of the demand is counted: a bit more than a second, in
/// which a router that gets most callers gets a multiple of its usual requests.
const SHARE_SLOTS: u64 = 3;

/// Time after which these parts are worked out again.
const SHARES_INTERVAL_MS: Millis = 100;

/// How many times an even part of the demand a router has to have for its share to follow it. Data
/// halls that differ in callers and routers make less of a difference.
const CONCENTRATION_FACTOR: u64 = 2;

/// Fewest requests in these slots from which a router's part of the demand is told from chance.
const MIN_SHARE_REQUESTS: u64 = 10;

/// Parts of the demand that come to this router.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct DemandShares {
    /// By model, in parts per million, where it is much more than an even part.
    by_model: BTreeMap<Arc<str>, u64>,
    /// When they are next worked out.
    next_at: Millis,
}

impl DemandShares {
    /// Part of a model's demand that comes to this router, in parts per million, if it is much more
    /// than an even one.
    pub fn ppm(&self, model: &Arc<str>) -> Option<u64> {
        self.by_model.get(model).copied()
    }
}

/// Works out which part of the demand for each model comes to this router now.
///
/// The balancer may send most callers to one router. The demand of all routers doesn't change then,
/// so that its mean over a longer time tells how much of it this one has.
pub(super) fn update(state: &mut DirectState, now: Millis) {
    if now < state.demand.shares.next_at {
        return;
    }
    let routers = demand::router_count(state);
    let all = match demand::is_known(state, now) {
        true => demand::estimated_demand(state, now),
        false => BTreeMap::new(),
    };
    let newest = now / SLOT_MS;
    let oldest = newest.saturating_sub(SHARE_SLOTS);
    let recent = state.demand.sums(oldest, newest);
    let span = now - newest.saturating_sub(SHARE_SLOTS - 1) * SLOT_MS;
    let share = |(model, arrivals): (Arc<str>, ModelArrivals)| {
        let tries = arrivals.first_tries();
        let own = tries.scaled(1_000, span.max(SLOT_MS)).requests;
        let all = all.get(&model)?.requests.max(own);
        let ppm = own * WHOLE_PPM / all.max(1);
        let is_large = ppm * routers >= CONCENTRATION_FACTOR * WHOLE_PPM;
        let is_significant = tries.requests >= MIN_SHARE_REQUESTS * REQUEST_MILLI;
        (is_large && is_significant).then_some((model, ppm))
    };
    state.demand.shares = DemandShares {
        by_model: recent.into_iter().filter_map(share).collect(),
        next_at: now + SHARES_INTERVAL_MS,
    };
}
