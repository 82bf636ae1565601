//! Chooses the mix of groups that a set of free endpoints should form.

use super::value::COLD;

/// Largest number of mixes that are kept for evaluation.
const MAX_MIXES: usize = 4_000;

/// The mix of groups with the highest worth that the endpoints can form, with that worth.
/// The mix lists the members of each group by model, as indices into `readiness`, which
/// holds each endpoint's readiness for each model. `None` if no mix adds anything.
///
/// An endpoint that joins a group of one model can't soon serve another one: what it could
/// add to one more group of that is subtracted, the more the fewer endpoints that group
/// lacks.
pub(super) fn best_mix(
    readiness: &[Vec<u8>],
    sizes: &[usize],
    worth: impl Fn(&[usize]) -> f64,
) -> Option<(f64, Vec<Vec<Vec<usize>>>)> {
    let options = option_values(readiness, sizes, &worth);
    best_with_options(readiness, sizes, worth, &options)
}

/// The same for endpoints that have waited in vain for others: what they could add to one more
/// group doesn't count.
pub(super) fn best_mix_now(
    readiness: &[Vec<u8>],
    sizes: &[usize],
    worth: impl Fn(&[usize]) -> f64,
) -> Option<(f64, Vec<Vec<Vec<usize>>>)> {
    let options = vec![0.0; sizes.len()];
    best_with_options(readiness, sizes, worth, &options)
}

fn best_with_options(
    readiness: &[Vec<u8>],
    sizes: &[usize],
    worth: impl Fn(&[usize]) -> f64,
    options: &[f64],
) -> Option<(f64, Vec<Vec<Vec<usize>>>)> {
    let none = vec![0; sizes.len()];
    let mut best = None;
    let mut best_value = worth(&none) + 1e-9;
    for mix in mixes(readiness.len(), sizes) {
        let value = worth(&mix);
        if value <= best_value {
            continue;
        }
        let Some(members) = assign(readiness, sizes, &mix) else {
            continue;
        };
        let value = value - lost_options(readiness, &members, options);
        if value > best_value {
            best_value = value;
            best = Some((value, members));
        }
    }
    best
}

/// What one endpoint that can serve a model adds as its share of one more group, for each
/// model. This is weighted by the square of the part of that group which can be had.
fn option_values(
    readiness: &[Vec<u8>],
    sizes: &[usize],
    worth: &impl Fn(&[usize]) -> f64,
) -> Vec<f64> {
    let none = vec![0; sizes.len()];
    let before = worth(&none);
    let value = |model: usize| {
        let mut one = none.clone();
        one[model] = 1;
        let size = sizes[model].max(1) as f64;
        let available = readiness.iter().filter(|a| a[model] < COLD).count() as f64;
        let part = (available / size).min(1.0);
        part * part * (worth(&one) - before) / size
    };
    (0..sizes.len()).map(value).collect()
}

/// What the members of a mix could have added to groups of other models.
fn lost_options(readiness: &[Vec<u8>], members: &[Vec<Vec<usize>>], options: &[f64]) -> f64 {
    let mut sum = 0.0;
    for (model, groups) in members.iter().enumerate() {
        for n in groups.iter().flatten() {
            let others = (0..options.len()).filter(|m| *m != model && readiness[*n][*m] < COLD);
            sum += others.map(|m| options[m]).fold(0.0, f64::max);
        }
    }
    sum
}

/// All mixes of groups of these sizes that fit `n` endpoints, or the first of them if they
/// are too many.
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
        longer.truncate(MAX_MIXES);
        mixes = longer;
    }
    mixes
}

/// Assigns endpoints to the groups of a mix so that the members have least to load. `None`
/// if the endpoints can't form the mix.
fn assign(readiness: &[Vec<u8>], sizes: &[usize], mix: &[usize]) -> Option<Vec<Vec<Vec<usize>>>> {
    let models: Vec<usize> = (0..sizes.len()).filter(|m| mix[*m] > 0).collect();
    let orders = rotations(&models);
    let assignments = orders.iter().filter_map(|order| {
        let members = assign_in_order(order, readiness, sizes, mix)?;
        Some((load_cost(readiness, &members), members))
    });
    let members = assignments.min_by_key(|(cost, _)| *cost)?.1;
    let groups = members
        .into_iter()
        .zip(sizes)
        .map(|(members, size)| members.chunks(*size).map(<[usize]>::to_vec).collect());
    Some(groups.collect())
}

/// The models in cyclic order, starting with each of them once.
fn rotations(models: &[usize]) -> Vec<Vec<usize>> {
    let rotated = |n: usize| {
        let mut order = models.to_vec();
        order.rotate_left(n);
        order
    };
    (0..models.len()).map(rotated).collect()
}

/// Sum of all members' readiness for their models; 0 if none has to load.
fn load_cost(readiness: &[Vec<u8>], members: &[Vec<usize>]) -> u32 {
    let cost = |(model, members): (usize, &Vec<usize>)| -> u32 {
        members
            .iter()
            .map(|n| u32::from(readiness[*n][model]))
            .sum()
    };
    members.iter().enumerate().map(cost).sum()
}

/// Assigns to each model in turn the endpoints that are readiest for it; among equals those
/// that can serve the fewest models.
fn assign_in_order(
    order: &[usize],
    readiness: &[Vec<u8>],
    sizes: &[usize],
    mix: &[usize],
) -> Option<Vec<Vec<usize>>> {
    let model_count = |n: usize| readiness[n].iter().filter(|r| **r < COLD).count();
    let mut free: Vec<usize> = (0..readiness.len()).collect();
    let mut assigned: Vec<Vec<usize>> = vec![Vec::new(); sizes.len()];
    for model in order {
        let needed = mix[*model] * sizes[*model];
        free.sort_by_key(|n| (readiness[*n][*model], model_count(*n)));
        let ready = free.iter().take_while(|n| readiness[**n][*model] < COLD);
        if ready.count() < needed {
            return None;
        }
        assigned[*model] = free.drain(..needed).collect();
    }
    Some(assigned)
}
