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
    let mut tally = Tally::of(input, &chosen);
    let mut best = tally.worth();
    for _ in 0..MAX_ROUNDS {
        let mut has_improved = false;
        for (own, n) in chosen.iter_mut().zip(&input.domains) {
            for mix in &mixes_by_size[n] {
                tally.replace(*n, own, mix);
                let now = tally.worth();
                if now > best + 1e-9 {
                    best = now;
                    has_improved = true;
                    own.clone_from(mix);
                } else {
                    tally.replace(*n, mix, own);
                }
            }
        }
        if !has_improved {
            break;
        }
    }
    chosen
}

/// A placement, with domains of one size that hold the same groups counted together: there are
/// few ways to fill a domain, however many domains there are.
struct Tally<'a> {
    input: &'a PlacementInput,
    /// Instances of all domains.
    instances: usize,
    /// Groups of each model.
    groups: Vec<usize>,
    /// Number of domains by their size and their groups of each model.
    domains: BTreeMap<(usize, Vec<usize>), usize>,
}

impl<'a> Tally<'a> {
    fn of(input: &'a PlacementInput, chosen: &[Vec<usize>]) -> Self {
        let mut tally = Self {
            input,
            instances: input.domains.iter().sum(),
            groups: vec![0; input.models.len()],
            domains: BTreeMap::new(),
        };
        for (mix, n) in chosen.iter().zip(&input.domains) {
            tally.add(*n, mix);
        }
        tally
    }

    fn add(&mut self, n: usize, mix: &[usize]) {
        for (sum, count) in self.groups.iter_mut().zip(mix) {
            *sum += count;
        }
        *self.domains.entry((n, mix.to_vec())).or_default() += 1;
    }

    /// Gives one domain of a size other groups.
    fn replace(&mut self, n: usize, before: &[usize], after: &[usize]) {
        for (sum, count) in self.groups.iter_mut().zip(before) {
            *sum -= count;
        }
        let key = (n, before.to_vec());
        if let Some(count) = self.domains.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.domains.remove(&key);
            }
        }
        self.add(n, after);
    }

    /// Worth of the placement, for comparison with others.
    fn worth(&self) -> f64 {
        let scenarios = self.input.domains.len() as f64;
        let (mut after_loss, mut by_domain) = (0.0, 0.0);
        for ((n, mix), count) in &self.domains {
            after_loss += *count as f64 * self.capacity(Some(mix));
            by_domain += *count as f64 * domain_worth(self.input, mix, *n);
        }
        let full = self.capacity(None) * scenarios;
        (full + after_loss) / (2.0 * scenarios) + by_domain / scenarios
    }

    /// Worth of the capacity of all models, without a domain that holds `lost` if given.
    fn capacity(&self, lost: Option<&[usize]>) -> f64 {
        let mut sum = 0.0;
        for (m, model) in self.input.models.iter().enumerate() {
            let groups = self.groups[m] - lost.map_or(0, |mix| mix[m]);
            let share = model.share as f64 / 1_000.0;
            let wanted = self.instances as f64 * share;
            let ratio = (groups * model.size) as f64 / wanted.max(1.0);
            sum += share * ratio / (ratio + HALF_USE_RATIO);
        }
        sum
    }
}

/// Worth of a domain's spares, and of its models beyond the first.
fn domain_worth(input: &PlacementInput, mix: &[usize], n: usize) -> f64 {
    let used: usize = mix.iter().zip(&input.models).map(|(c, m)| c * m.size).sum();
    let models = mix.iter().filter(|c| **c > 0).count();
    let spares = n.saturating_sub(used).min(MAX_USEFUL_SPARES) as f64;
    SPARE_WORTH * spares.sqrt() + FURTHER_MODEL_WORTH * models.saturating_sub(1) as f64
}
