use super::{LoadDomain, LoadInput, LoadModel, LoadSource, LoadUse, PlannedLoad, ReadyCounts};

/// Least value of loading a model to replace members that may be lost: below it a load isn't worth
/// its cost.
const MIN_REPLACEMENT_VALUE: f64 = 0.001;

/// Worth of a ready endpoint in a group of another model, relative to a free one: its group has to
/// end first, and it may be needed where it is.
const SEATED_FACTOR: f64 = 0.5;

/// Plans loads from the weight store, the most valuable first.
///
/// A load that completes a group comes first: of these, the one whose group gains most for each
/// load that it lacks. Only free endpoints count towards a group, as a member of another group
/// isn't available. Then come replacements for members by the loss that they are expected to
/// prevent, then leftover endpoints.
pub fn plan_loads(input: &LoadInput) -> Vec<PlannedLoad> {
    let mut domains = input.domains.clone();
    let mut planned = Vec::new();
    while planned.len() < input.max_loads {
        let Some(best) = best_load(&input.models, &domains) else {
            break;
        };
        let domain = &mut domains[best.domain];
        let ids = domain.sources.get_mut(&best.source);
        let Some(id) = ids.and_then(Vec::pop) else {
            break;
        };
        let ready = &mut domain.ready[best.model];
        if best.source.seated {
            ready.seated += 1;
        } else {
            ready.free += 1;
        }
        planned.push(PlannedLoad {
            id,
            model: best.model,
            hold: best.source.held.is_none(),
            purpose: best.purpose,
        });
    }
    planned
}

/// A load that can begin, with its value among those of the same use.
struct Choice {
    domain: usize,
    source: LoadSource,
    model: usize,
    purpose: LoadUse,
    value: f64,
}

/// The most valuable load; of equal ones the first, by domain, source and model.
fn best_load(models: &[LoadModel], domains: &[LoadDomain]) -> Option<Choice> {
    let pending = |m: usize| -> usize {
        let size = models[m].size.max(1);
        domains.iter().map(|d| d.ready[m].free / size).sum()
    };
    let pending: Vec<usize> = (0..models.len()).map(pending).collect();
    let min_size = models.iter().map(|m| m.size).min().unwrap_or(0);
    let mut best: Option<Choice> = None;
    for (n, domain) in domains.iter().enumerate() {
        for (m, model) in models.iter().enumerate() {
            let completes = completion_value(domain, m, model, pending[m]);
            for (source, ids) in &domain.sources {
                if ids.is_empty() || source.held == Some(m) {
                    continue;
                }
                let found = if let (false, Some(value)) = (source.seated, completes) {
                    Some((LoadUse::Completes, value))
                } else if let Some(value) = replacement_value(&domain.ready[m], model, source) {
                    Some((LoadUse::Replaces, value))
                } else {
                    let value = leftover_value(domain, m, model, min_size, source);
                    value.map(|value| (LoadUse::Leftover, value))
                };
                let Some((purpose, value)) = found else {
                    continue;
                };
                let is_better = |b: &Choice| (purpose, -value) < (b.purpose, -b.value);
                if best.as_ref().is_none_or(is_better) {
                    best = Some(Choice {
                        domain: n,
                        source: *source,
                        model: m,
                        purpose,
                        value,
                    });
                }
            }
        }
    }
    best
}

/// Worth of the next group that the free endpoints of a domain can form of a model, for each load
/// that it lacks; none if they are too few or the group isn't needed. `pending` is the number of
/// groups that free endpoints of all domains can form without further loads.
fn completion_value(
    domain: &LoadDomain,
    m: usize,
    model: &LoadModel,
    pending: usize,
) -> Option<f64> {
    let gain = *model.gains.get(pending)?;
    let size = model.size.max(1);
    let waiting = domain.ready[m].free % size;
    let can_load = |(source, _): &(&LoadSource, _)| !source.seated && source.held != Some(m);
    let loadable = domain.sources.iter().filter(can_load);
    let loadable: usize = loadable.map(|(_, ids)| ids.len()).sum();
    let is_possible = gain > 0.0 && waiting + loadable >= size;
    is_possible.then(|| gain / (size - waiting) as f64)
}

/// Loss that one more endpoint ready for a model is expected to prevent, if it is enough.
fn replacement_value(ready: &ReadyCounts, model: &LoadModel, source: &LoadSource) -> Option<f64> {
    let part = if source.seated { SEATED_FACTOR } else { 1.0 };
    let available = ready.free as f64 + ready.seated as f64 * SEATED_FACTOR;
    let chance = 1.0 - (-model.member_losses * ready.members as f64).exp();
    let value = model.loss * chance * part / (1.0 + available).powi(2);
    (value >= MIN_REPLACEMENT_VALUE).then_some(value)
}

/// Value of a load of a leftover endpoint: models of larger groups first, which lose members more
/// often. An endpoint counts as leftover where groups stand and too few are free for another one.
fn leftover_value(
    domain: &LoadDomain,
    m: usize,
    model: &LoadModel,
    min_size: usize,
    source: &LoadSource,
) -> Option<f64> {
    let is_leftover = !source.seated && domain.free < min_size && domain.ready[m].members > 0;
    is_leftover.then_some(model.size as f64)
}
