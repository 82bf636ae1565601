//! Decides which model spares hold ready.
//!
//! A spare joins a group of its own, which never opens: whoever has held a
//! model joins a group of that model almost at once.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::survey::{self, Place};
use super::{fill, form, need, order, value, OrderUse, Staging};
use crate::logic::direct::{DirectState, EndpointView, GroupStep};
use crate::logic::{Effect, Note, NoteCode};
use crate::types::{EngineModel, EngineSpec, InstanceId, Millis};

/// Span over which loads are counted.
const WINDOW_MS: Millis = 5_000;

/// Time after which an order to load that shows no effect is given again.
const AGAIN_MS: Millis = 3_000;

/// Times the loads at once that may be under way while loads are cheap.
const PARALLEL: usize = 3;

/// Unanswered orders beyond which nothing more is staged: groups come first, and
/// each order costs this router time.
const BACKLOG: usize = 256;

/// Sees to it that endpoints hold models ready.
pub(super) fn tend(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    forget(state, now);
    if state.plan.orders.len() < BACKLOG {
        spares(state, now, out);
    }
    if state.plan.orders.len() < BACKLOG / 4 {
        second(state, now, out);
    }
}

/// Tells spares that hold no model to hold one.
fn spares(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let heads = heads(state);
    let mut services: BTreeMap<Arc<str>, Option<Needs>> = BTreeMap::new();
    for (place, free) in survey::free(state) {
        let needs = services
            .entry(place.0.clone())
            .or_insert_with(|| Needs::of(state, &place.0));
        let Some(needs) = needs else {
            continue;
        };
        let engine = &needs.engine;
        for id in &free {
            let idle = !state.plan.staging.contains_key(id);
            let view = state.endpoints.get(id);
            // To hold a model again would drive the second one from its host.
            let holds = view.is_some_and(|v| v.last.is_some());
            if !idle || holds {
                continue;
            }
            let warm = holds_any(state, id, engine, 1);
            if !warm && !room(state, engine) {
                continue;
            }
            if let Some(model) = choose(state, &place, &free, id, needs, &heads) {
                give(state, now, id, &model.name, !warm, out);
            }
        }
    }
}

/// Tells endpoints to load a second model to their hosts.
///
/// A member keeps the model of its group; the host holds another one ready, so
/// that whoever is left of a group can serve either. A model that is clearly short
/// of groups comes first, where most can serve it already; then spares, then members
/// of large groups, as more of them are left over.
fn second(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let free: BTreeSet<InstanceId> = survey::free(state).into_values().flatten().collect();
    let mut services: BTreeMap<Arc<str>, Option<Needs>> = BTreeMap::new();
    let mut waiting = Vec::new();
    for (id, view) in &state.endpoints {
        let told = state.plan.staging.contains_key(id);
        let Some(held) = view.last.as_ref().filter(|_| !told) else {
            continue;
        };
        let other = view.entry.staged.iter().any(|m| m != held);
        if other || !survey::usable(state, id, view) {
            continue;
        }
        let service = &view.entry.service;
        let needs = services
            .entry(service.clone())
            .or_insert_with(|| Needs::of(state, service));
        let wanted = needs.as_ref().and_then(|n| Some((n, n.other(held)?)));
        let Some((needs, model)) = wanted else {
            continue;
        };
        let size = needs.engine.model(held).map_or(0, |m| m.size);
        let ready = needs.ready_for(&view.entry.domain, &model);
        let order = (Reverse(ready), !free.contains(id), Reverse(size));
        waiting.push((order, id.clone(), service.clone(), model));
    }
    waiting.sort();
    for (_, id, service, model) in waiting {
        let Some(Some(needs)) = services.get(&service) else {
            continue;
        };
        let busy = state.plan.staging.len() as u32 >= needs.engine.loads_at_once;
        if busy || !room(state, &needs.engine) {
            return;
        }
        let step = GroupStep::Stage {
            model: model.clone(),
        };
        tell(state, now, &id, &model, true, step, out);
    }
}

/// What a service needs its hosts to hold.
struct Needs {
    /// Its engines.
    engine: EngineSpec,
    /// Models, the one with the least of what it needs first.
    models: Vec<Arc<str>>,
    /// The model that is clearly short of groups, if any.
    short: Option<Arc<str>>,
    /// Endpoints that can serve that model without a load, by domain.
    ready: BTreeMap<Arc<str>, usize>,
}

impl Needs {
    fn of(state: &DirectState, service: &Arc<str>) -> Option<Self> {
        let engine = fill::engine(state, service)?;
        let models = need::by_need(state, service, &engine);
        let short = need::short_of(state, service, &engine);
        let mut ready: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        for (id, view) in &state.endpoints {
            let usable = view.entry.service == *service && survey::usable(state, id, view);
            let serves = |m| value::readiness(state, id, m) < value::COLD;
            if usable && short.as_ref().is_some_and(serves) {
                *ready.entry(view.entry.domain.clone()).or_default() += 1;
            }
        }
        Some(Self {
            engine,
            models: models.into_iter().map(|m| m.name).collect(),
            short,
            ready,
        })
    }

    /// The model to load beside another one.
    fn other(&self, held: &Arc<str>) -> Option<Arc<str>> {
        self.models.iter().find(|m| *m != held).cloned()
    }

    /// Endpoints of a domain that can serve a model, where it is short; else 0.
    fn ready_for(&self, domain: &Arc<str>, model: &Arc<str>) -> usize {
        let short = self.short.as_ref() == Some(model);
        let ready = self.ready.get(domain).filter(|_| short);
        ready.map_or(usize::from(short), |n| n + 1)
    }
}

/// Forgets orders that are done, and those that had no effect.
fn forget(state: &mut DirectState, now: Millis) {
    let endpoints = &state.endpoints;
    let routing = state.routing.clone();
    let load = |id: &InstanceId, model: &Arc<str>| {
        let service = endpoints.get(id).map(|v| v.entry.service.clone());
        let engine = service.and_then(|s| routing.as_ref()?.services.get(&s)?.engine.as_ref());
        engine.and_then(|e| e.model(model)).map_or(0, |m| m.load_ms)
    };
    state.plan.staging.retain(|id, staging| {
        let view = endpoints.get(id);
        let holds = |v: &EndpointView| v.entry.model.as_ref() == Some(&staging.model);
        let lies = |v: &EndpointView| v.entry.staged.contains(&staging.model);
        let waits = |v: &EndpointView| !(holds(v) || (!staging.hold && lies(v)));
        let late = staging.since + 2 * load(id, &staging.model) + AGAIN_MS;
        view.is_some_and(waits) && now < late
    });
    while state
        .plan
        .loads
        .front()
        .is_some_and(|at| now >= at + WINDOW_MS)
    {
        state.plan.loads.pop_front();
    }
}

/// Whether an endpoint is this ready for any model.
fn holds_any(state: &DirectState, id: &InstanceId, engine: &EngineSpec, ready: u8) -> bool {
    let holds = |m: &EngineModel| value::readiness(state, id, &m.name) <= ready;
    engine.models.iter().any(holds)
}

/// Whether another load may begin within the published rate.
fn room(state: &DirectState, engine: &EngineSpec) -> bool {
    let most = engine.load_rate * WINDOW_MS / 1_000_000;
    // Before the first request loads don't count; but what is under way when it
    // comes does not get cheaper.
    let few = state.plan.staging.len() < PARALLEL * engine.loads_at_once as usize;
    (fill::cheap(state) && few) || (state.plan.loads.len() as u64) < most
}

/// Open groups by domain and model.
type Heads = BTreeMap<(Arc<str>, Arc<str>), usize>;

fn heads(state: &DirectState) -> Heads {
    let mut heads = Heads::new();
    for view in state.endpoints.values().filter(|v| v.heads()) {
        if let Some(model) = &view.entry.model {
            let key = (view.entry.domain.clone(), model.clone());
            *heads.entry(key).or_default() += 1;
        }
    }
    heads
}

/// The model that a spare of this place is most likely to be needed for.
fn choose(
    state: &DirectState,
    place: &Place,
    free: &[InstanceId],
    id: &InstanceId,
    needs: &Needs,
    heads: &Heads,
) -> Option<EngineModel> {
    let engine = &needs.engine;
    let warm = |m: &&EngineModel| value::readiness(state, id, &m.name) < value::COLD;
    let quickest = |m: &&EngineModel| value::readiness(state, id, &m.name);
    if let Some(model) = engine.models.iter().filter(warm).min_by_key(quickest) {
        return Some(model.clone());
    }
    let ready = |m: &EngineModel| {
        let staged = |id: &&InstanceId| {
            let told = state.plan.staging.get(*id).map(|s| &s.model);
            told == Some(&m.name) || value::readiness(state, id, &m.name) < value::COLD
        };
        free.iter().filter(staged).count()
    };
    let groups = |m: &EngineModel| {
        let key = (place.1.clone(), m.name.clone());
        heads.get(&key).copied().unwrap_or(0)
    };
    if engine.models.iter().all(|m| groups(m) == 0) {
        // Nothing stands yet: as the work is shared.
        let filled = |m: &&EngineModel| ready(m) as u64 * 1_000_000 / m.share.max(1);
        return engine.models.iter().min_by_key(filled).cloned();
    }
    if let Some(short) = &needs.short {
        return engine.model(short).cloned();
    }
    let by_need = needs.models.iter().filter_map(|m| engine.model(m).cloned());
    // Members that could need this spare, for each spare that is ready already.
    let use_of = |m: &EngineModel| groups(m) * m.size * 1_000 / (ready(m) + 1);
    by_need
        .enumerate()
        .max_by_key(|(i, m)| (use_of(m), usize::MAX - i))
        .map(|(_, m)| m)
}

fn give(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    model: &Arc<str>,
    load: bool,
    out: &mut Vec<Effect>,
) {
    let epoch = form::next_epoch(state);
    let step = GroupStep::Join {
        group: format!("{}{epoch}", survey::ALONE).into(),
        epoch,
        model: model.clone(),
        members: vec![id.clone()],
    };
    tell(state, now, id, model, load, step, out);
}

fn tell(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    model: &Arc<str>,
    load: bool,
    step: GroupStep,
    out: &mut Vec<Effect>,
) {
    let note = Note::new(NoteCode::StageOrdered)
        .with("endpoint", id)
        .with("model", model);
    out.push(Effect::Note(note));
    let hold = matches!(step, GroupStep::Join { .. });
    let staging = Staging {
        model: model.clone(),
        since: now,
        hold,
    };
    state.plan.staging.insert(id.clone(), staging);
    if load {
        state.plan.loads.push_back(now);
    }
    order::give(state, id, step, OrderUse::Stage(id.clone()), out);
}
