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
    let mut tally = Tally::of(input, &chosen);
    let mut best = tally.worth();
    for _ in 0..ROUNDS {
        let mut better = false;
        for (mine, n) in chosen.iter_mut().zip(&input.domains) {
            for mix in &fits[n] {
                tally.replace(*n, mine, mix);
                let now = tally.worth();
                if now > best + 1e-9 {
                    best = now;
                    better = true;
                    mine.clone_from(mix);
                } else {
                    tally.replace(*n, mix, mine);
                }
            }
        }
        if !better {
            break;
        }
    }
    chosen
}

/// A placement, with domains of one size that hold the same counted together: thousands of
/// domains are filled in few ways.
struct Tally<'a> {
    input: &'a PlaceInput,
    /// Instances of all domains.
    all: usize,
    /// Groups of each model.
    groups: Vec<usize>,
    /// Domains by their size and what they hold.
    alike: BTreeMap<(usize, Vec<usize>), usize>,
}

impl<'a> Tally<'a> {
    fn of(input: &'a PlaceInput, chosen: &[Vec<usize>]) -> Self {
        let mut tally = Self {
            input,
            all: input.domains.iter().sum(),
            groups: vec![0; input.models.len()],
            alike: BTreeMap::new(),
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
        *self.alike.entry((n, mix.to_vec())).or_default() += 1;
    }

    /// One domain holds something else.
    fn replace(&mut self, n: usize, before: &[usize], after: &[usize]) {
        let key = (n, before.to_vec());
        for (sum, count) in self.groups.iter_mut().zip(before) {
            *sum -= count;
        }
        if let Some(count) = self.alike.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.alike.remove(&key);
            }
        }
        self.add(n, after);
    }

    /// Worth of the placement; only differences count.
    fn worth(&self) -> f64 {
        let whole = self.capacity(None);
        let scenarios = self.input.domains.len() as f64;
        let (mut lost, mut rooms) = (0.0, 0.0);
        for ((n, mix), count) in &self.alike {
            lost += *count as f64 * self.capacity(Some(mix));
            rooms += *count as f64 * room(self.input, mix, *n);
        }
        (whole * scenarios + lost) / (2.0 * scenarios) + rooms / scenarios
    }

    /// Capacity by model, weighed, without a domain that holds `lost`.
    fn capacity(&self, lost: Option<&[usize]>) -> f64 {
        let mut sum = 0.0;
        for (m, model) in self.input.models.iter().enumerate() {
            let groups = self.groups[m] - lost.map_or(0, |mix| mix[m]);
            let share = model.share as f64 / 1_000.0;
            let wanted = self.all as f64 * share;
            let ratio = (groups * model.size) as f64 / wanted.max(1.0);
            sum += share * ratio / (ratio + HALF);
        }
        sum
    }
}

/// Worth of a domain's spares, and of having more than one model there.
fn room(input: &PlaceInput, mix: &[usize], n: usize) -> f64 {
    let used: usize = mix.iter().zip(&input.models).map(|(c, m)| c * m.size).sum();
    let kinds = mix.iter().filter(|c| **c > 0).count();
    let spares = n.saturating_sub(used).min(USEFUL_SPARES) as f64;
    SPARE * spares.sqrt() + VARIED * kinds.saturating_sub(1) as f64
}
