//! Which groups a few free endpoints should form.

use crate::types::EngineModel;

/// Most mixes that are weighed.
const MIXES: usize = 4_000;

/// Readiness of an endpoint that can't join a group of a model now.
const COLD: u8 = 2;

/// What each group beyond the wanted capacity still adds.
const SURPLUS: f64 = 0.05;

/// Worth of so many groups of a model, where a service has `all` instances.
///
/// Grows ever more slowly up to the part of the instances that the model's work
/// needs, then hardly any more. `weight` is what the model's work counts.
pub(super) fn use_of(model: &EngineModel, groups: usize, all: usize, weight: f64) -> f64 {
    let share = model.share as f64 / 1_000.0;
    let wanted = (all as f64 * share).max(1.0);
    let ratio = (groups * model.size) as f64 / wanted;
    let short = (1.0 - ratio).max(0.0);
    weight * (1.0 - short * short + SURPLUS * ratio.min(2.0))
}

/// Members of each group to form, by model: the mix with the highest worth that
/// the endpoints can serve. `able` tells their readiness for each model.
pub(super) fn best_mix(
    able: &[Vec<u8>],
    sizes: &[usize],
    worth: impl Fn(&[usize]) -> f64,
) -> Option<Vec<Vec<Vec<usize>>>> {
    let mut best = None;
    let mut most = worth(&vec![0; sizes.len()]) + 1e-9;
    for mix in mixes(able.len(), sizes) {
        let value = worth(&mix);
        if value <= most {
            continue;
        }
        if let Some(members) = assign(able, sizes, &mix) {
            most = value;
            best = Some(members);
        }
    }
    best
}

/// All mixes of groups of these sizes that fit `n` endpoints.
pub(super) fn mixes(n: usize, sizes: &[usize]) -> Vec<Vec<usize>> {
    let mut mixes = vec![Vec::new()];
    for size in sizes {
        let mut longer = Vec::new();
        for mix in &mixes {
            let used: usize = mix.iter().zip(sizes).map(|(c, s)| c * s).sum();
            for count in 0..=(n - used.min(n)) / (*size).max(1) {
                let mut next: Vec<usize> = mix.clone();
                next.push(count);
                longer.push(next);
            }
        }
        longer.truncate(MIXES);
        mixes = longer;
    }
    mixes
}

/// Gives endpoints to the groups of a mix: the readiest first, or, where that
/// doesn't come out, those first that can do least. `None` where neither does.
fn assign(able: &[Vec<u8>], sizes: &[usize], mix: &[usize]) -> Option<Vec<Vec<Vec<usize>>>> {
    let choices = |n: &usize| able[*n].iter().filter(|r| **r < COLD).count();
    let quickest = |n: &usize| able[*n].iter().min().copied().unwrap_or(COLD);
    let mut order: Vec<usize> = (0..able.len()).collect();
    order.sort_by_key(|n| (quickest(n), choices(n)));
    let ready = assign_in(&order, able, sizes, mix);
    ready.or_else(|| {
        order.sort_by_key(|n| (choices(n), quickest(n)));
        assign_in(&order, able, sizes, mix)
    })
}

/// Gives endpoints, in this order, each to the model that it is readiest for.
fn assign_in(
    order: &[usize],
    able: &[Vec<u8>],
    sizes: &[usize],
    mix: &[usize],
) -> Option<Vec<Vec<Vec<usize>>>> {
    let mut open: Vec<usize> = mix.iter().zip(sizes).map(|(c, s)| c * s).collect();
    let mut given: Vec<Vec<usize>> = vec![Vec::new(); sizes.len()];
    for n in order {
        let fits = |m: &usize| open[*m] > 0 && able[*n][*m] < COLD;
        let model = (0..sizes.len()).filter(fits).min_by_key(|m| able[*n][*m]);
        if let Some(model) = model {
            open[model] -= 1;
            given[model].push(*n);
        }
    }
    if open.iter().any(|n| *n > 0) {
        return None;
    }
    let groups = given
        .into_iter()
        .zip(sizes)
        .map(|(members, size)| members.chunks(*size).map(<[usize]>::to_vec).collect());
    Some(groups.collect())
}
