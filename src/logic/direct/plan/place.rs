//! The initial placement: how many groups of each model each domain should have.

use std::collections::BTreeMap;

use super::mix::mixes;

/// Largest number of rounds of improvement over all domains.
const MAX_ROUNDS: usize = 12;

/// Part of the wanted capacity at which a model is half as useful as it can be.
const HALF_USE_RATIO: f64 = 0.35;

/// Worth of the first spare of a domain, averaged over the domains; the capacity of all models
/// together is worth at most 1.
const SPARE_WORTH: f64 = 0.02;

/// Spares of one domain that have any worth. If more are needed, a small group ends to
/// provide them.
const MAX_USEFUL_SPARES: usize = 2;

/// Worth of each model in a domain beyond the first, averaged over the domains: a group of one
/// model can end so that a group of another that has lost a member is complete again.
const FURTHER_MODEL_WORTH: f64 = 0.015;

/// Size and share of a model for the placement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementModel {
    /// Instances of one group.
    pub size: usize,
    /// Part of all instances that it should get, in thousandths: its published share of the work,
    /// which is taken as its share of the instances.
    pub share: u64,
}

/// Input of the placement.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacementInput {
    /// Number of instances of each domain.
    pub domains: Vec<usize>,
    /// The models to place.
    pub models: Vec<PlacementModel>,
}

/// The number of groups of each model that each domain should have, by domain and model.
///
/// The worth of a placement is the capacity of each model, both with all domains and after
/// the loss of any one of them, with that of spares for repairs and of domains with several
/// models, whose groups can be traded. Raises it one domain at a time, until no single domain
/// can be improved or `MAX_ROUNDS` is reached.
pub fn place(input: &PlacementInput) -> Vec<Vec<usize>> {
    let sizes: Vec<usize> = input.models.iter().map(|m| m.size).collect();
    let mut mixes_by_size: BTreeMap<usize, Vec<Vec<usize>>> = BTreeMap::new();
    for n in &input.domains {
        mixes_by_size.entry(*n).or_insert_with(|| mixes(*n, &sizes));
    }
    let mut chosen = vec![vec![0; input.models.len()]; input.domains.len()];
    let mut best = worth(input, &chosen);
    for _ in 0..MAX_ROUNDS {
        let mut has_improved = false;
        for d in 0..chosen.len() {
            for mix in &mixes_by_size[&input.domains[d]] {
                let before = std::mem::replace(&mut chosen[d], mix.clone());
                let now = worth(input, &chosen);
                if now > best + 1e-9 {
                    best = now;
                    has_improved = true;
                } else {
                    chosen[d] = before;
                }
            }
        }
        if !has_improved {
            break;
        }
    }
    chosen
}

/// Worth of a placement, for comparison with others.
fn worth(input: &PlacementInput, chosen: &[Vec<usize>]) -> f64 {
    let full = capacity(input, chosen, None);
    let after_loss: f64 = (0..chosen.len())
        .map(|d| capacity(input, chosen, Some(d)))
        .sum();
    let scenarios = chosen.len() as f64;
    let domains: f64 = chosen
        .iter()
        .zip(&input.domains)
        .map(|(mix, n)| domain_worth(input, mix, *n))
        .sum();
    (full * scenarios + after_loss) / (2.0 * scenarios) + domains / scenarios
}

/// Worth of the capacity of all models, without the groups of one domain if given.
fn capacity(input: &PlacementInput, chosen: &[Vec<usize>], without: Option<usize>) -> f64 {
    let all: usize = input.domains.iter().sum();
    let mut sum = 0.0;
    for (m, model) in input.models.iter().enumerate() {
        let remaining = chosen
            .iter()
            .enumerate()
            .filter(|(d, _)| Some(*d) != without);
        let groups: usize = remaining.map(|(_, mix)| mix[m]).sum();
        let share = model.share as f64 / 1_000.0;
        let wanted = all as f64 * share;
        let ratio = (groups * model.size) as f64 / wanted.max(1.0);
        sum += share * ratio / (ratio + HALF_USE_RATIO);
    }
    sum
}

/// Worth of a domain's spares, and of its models beyond the first.
fn domain_worth(input: &PlacementInput, mix: &[usize], n: usize) -> f64 {
    let used: usize = mix.iter().zip(&input.models).map(|(c, m)| c * m.size).sum();
    let models = mix.iter().filter(|c| **c > 0).count();
    let spares = n.saturating_sub(used).min(MAX_USEFUL_SPARES) as f64;
    SPARE_WORTH * spares.sqrt() + FURTHER_MODEL_WORTH * models.saturating_sub(1) as f64
}
