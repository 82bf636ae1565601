//! Which groups a few free endpoints should form.

use super::value::COLD;

/// Most mixes that are weighed.
const MIXES: usize = 4_000;

/// Members of each group to form, by model, and what the mix is worth: the best one
/// that the endpoints can serve. `able` tells their readiness for each model.
///
/// Whoever joins a group of one model can serve no other soon: what it could add to
/// one more group of another is taken off, the more the less that group lacks.
pub(super) fn best_mix(
    able: &[Vec<u8>],
    sizes: &[usize],
    worth: impl Fn(&[usize]) -> f64,
) -> Option<(f64, Vec<Vec<Vec<usize>>>)> {
    let none = vec![0; sizes.len()];
    let options = options(able, sizes, &worth);
    let mut best = None;
    let mut most = worth(&none) + 1e-9;
    for mix in mixes(able.len(), sizes) {
        let value = worth(&mix);
        if value <= most {
            continue;
        }
        let Some(members) = assign(able, sizes, &mix) else {
            continue;
        };
        let value = value - given_up(able, &members, &options);
        if value > most {
            most = value;
            best = Some((value, members));
        }
    }
    best
}

/// What one endpoint adds that can serve a model, as its part of one more group. It
/// counts by the square of the part of that group which is there.
fn options(able: &[Vec<u8>], sizes: &[usize], worth: &impl Fn(&[usize]) -> f64) -> Vec<f64> {
    let none = vec![0; sizes.len()];
    let before = worth(&none);
    let of = |model: usize| {
        let mut one = none.clone();
        one[model] = 1;
        let size = sizes[model].max(1) as f64;
        let there = able.iter().filter(|a| a[model] < COLD).count() as f64;
        let part = (there / size).min(1.0);
        part * part * (worth(&one) - before) / size
    };
    (0..sizes.len()).map(of).collect()
}

/// What members could have added to other models than that of their group.
fn given_up(able: &[Vec<u8>], members: &[Vec<Vec<usize>>], options: &[f64]) -> f64 {
    let mut sum = 0.0;
    for (model, groups) in members.iter().enumerate() {
        for n in groups.iter().flatten() {
            let others = (0..options.len()).filter(|m| *m != model && able[*n][*m] < COLD);
            sum += others.map(|m| options[m]).fold(0.0, f64::max);
        }
    }
    sum
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

/// Gives endpoints to the groups of a mix, so that their members have least to
/// load. `None` where the endpoints can't form it.
fn assign(able: &[Vec<u8>], sizes: &[usize], mix: &[usize]) -> Option<Vec<Vec<Vec<usize>>>> {
    let models: Vec<usize> = (0..sizes.len()).filter(|m| mix[*m] > 0).collect();
    let orders = orders(&models);
    let ways = orders.iter().filter_map(|order| {
        let members = assign_in(order, able, sizes, mix)?;
        Some((loads(able, &members), members))
    });
    let members = ways.min_by_key(|(loads, _)| *loads)?.1;
    let groups = members
        .into_iter()
        .zip(sizes)
        .map(|(members, size)| members.chunks(*size).map(<[usize]>::to_vec).collect());
    Some(groups.collect())
}

/// Each model once in front of the others.
fn orders(models: &[usize]) -> Vec<Vec<usize>> {
    let turned = |n: usize| {
        let mut order = models.to_vec();
        order.rotate_left(n);
        order
    };
    (0..models.len()).map(turned).collect()
}

/// What the members of each model have to load, in all.
fn loads(able: &[Vec<u8>], members: &[Vec<usize>]) -> u32 {
    let of = |(model, members): (usize, &Vec<usize>)| -> u32 {
        members.iter().map(|n| u32::from(able[*n][model])).sum()
    };
    members.iter().enumerate().map(of).sum()
}

/// Gives each model in turn the endpoints that are readiest for it, first those
/// that can do least else.
fn assign_in(
    order: &[usize],
    able: &[Vec<u8>],
    sizes: &[usize],
    mix: &[usize],
) -> Option<Vec<Vec<usize>>> {
    let choices = |n: usize| able[n].iter().filter(|r| **r < COLD).count();
    let mut free: Vec<usize> = (0..able.len()).collect();
    let mut given: Vec<Vec<usize>> = vec![Vec::new(); sizes.len()];
    for model in order {
        let needed = mix[*model] * sizes[*model];
        free.sort_by_key(|n| (able[*n][*model], choices(*n)));
        let fits = free.iter().take_while(|n| able[**n][*model] < COLD);
        if fits.count() < needed {
            return None;
        }
        given[*model] = free.drain(..needed).collect();
    }
    Some(given)
}
