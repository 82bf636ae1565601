use std::collections::BTreeMap;

use super::mix::mixes;

/// Most rounds of improvement.
const ROUNDS: usize = 12;

/// Part of the wanted capacity at which a model is half as useful as it can be.
const HALF: f64 = 0.35;

/// Worth of a spare that fits, against one whole model.
const SPARE: f64 = 0.02;

/// Spares of one domain that are worth anything. Beyond them a small group gives its
/// members up where one is needed.
const USEFUL_SPARES: usize = 2;

/// What a second model in a domain adds: a group of one can be given up for the other
/// where that one has lost a member.
const VARIED: f64 = 0.015;

/// What placement has to know of a model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlaceModel {
    /// Instances of one group.
    pub size: usize,
    /// Part of all instances that its work needs, in thousandths.
    pub share: u64,
}

/// Instances by domain, and the models to place there.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlaceInput {
    /// Instances of each domain.
    pub domains: Vec<usize>,
    /// Models.
    pub models: Vec<PlaceModel>,
}

/// How many groups of each model should stand in each domain.
///
/// Weighs capacity by model as it is and after the loss of any one domain, room
/// for repairs, and that groups of a domain with several models can be traded.
pub fn place(input: &PlaceInput) -> Vec<Vec<usize>> {
    let sizes: Vec<usize> = input.models.iter().map(|m| m.size).collect();
    let mut fits: BTreeMap<usize, Vec<Vec<usize>>> = BTreeMap::new();
    for n in &input.domains {
        fits.entry(*n).or_insert_with(|| mixes(*n, &sizes));
    }
    let mut chosen = vec![vec![0; input.models.len()]; input.domains.len()];
    let mut best = worth(input, &chosen);
    for _ in 0..ROUNDS {
        let mut better = false;
        for d in 0..chosen.len() {
            for mix in &fits[&input.domains[d]] {
                let before = std::mem::replace(&mut chosen[d], mix.clone());
                let now = worth(input, &chosen);
                if now > best + 1e-9 {
                    best = now;
                    better = true;
                } else {
                    chosen[d] = before;
                }
            }
        }
        if !better {
            break;
        }
    }
    chosen
}

/// Worth of a placement; only differences count.
fn worth(input: &PlaceInput, chosen: &[Vec<usize>]) -> f64 {
    let whole = capacity(input, chosen, None);
    let lost: f64 = (0..chosen.len())
        .map(|d| capacity(input, chosen, Some(d)))
        .sum();
    let scenarios = chosen.len() as f64;
    let domains: f64 = chosen
        .iter()
        .zip(&input.domains)
        .map(|(mix, n)| room(input, mix, *n))
        .sum();
    (whole * scenarios + lost) / (2.0 * scenarios) + domains / scenarios
}

fn capacity(input: &PlaceInput, chosen: &[Vec<usize>], without: Option<usize>) -> f64 {
    let all: usize = input.domains.iter().sum();
    let mut sum = 0.0;
    for (m, model) in input.models.iter().enumerate() {
        let there = chosen
            .iter()
            .enumerate()
            .filter(|(d, _)| Some(*d) != without);
        let groups: usize = there.map(|(_, mix)| mix[m]).sum();
        let share = model.share as f64 / 1_000.0;
        let wanted = all as f64 * share;
        let ratio = (groups * model.size) as f64 / wanted.max(1.0);
        sum += share * ratio / (ratio + HALF);
    }
    sum
}

/// Worth of a domain's spares, and of having more than one model there.
fn room(input: &PlaceInput, mix: &[usize], n: usize) -> f64 {
    let used: usize = mix.iter().zip(&input.models).map(|(c, m)| c * m.size).sum();
    let kinds = mix.iter().filter(|c| **c > 0).count();
    let spares = n.saturating_sub(used).min(USEFUL_SPARES) as f64;
    SPARE * spares.sqrt() + VARIED * kinds.saturating_sub(1) as f64
}
