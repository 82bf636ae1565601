use std::cell::Cell;
use std::hash::{Hash, Hasher};

use pathfinding::prelude::bfs;
use runrail::logic::Rules;

/// Maximum number of states that are expanded; an exploration that reaches it isn't
/// exhaustive.
pub const MAX_STATES: usize = 330_000;

/// Result of an exploration.
#[derive(Debug)]
pub struct Exploration<S> {
    /// Number of states whose successors were computed.
    pub explored: usize,
    /// Number of steps within which every state was found; `None` if all reachable states
    /// were.
    pub complete_depth: Option<usize>,
    /// Shortest path to a state that breaks an invariant, and how it is broken.
    pub violation: Option<(String, Vec<S>)>,
}

impl<S> Exploration<S> {
    /// Describes which part of the state space was explored.
    pub fn coverage(&self) -> String {
        match self.complete_depth {
            None => format!("{} states, all that are reachable", self.explored),
            Some(depth) => format!("{} states, all within {depth} steps", self.explored),
        }
    }
}

/// A state with its distance from the start, which is ignored by `Eq` and `Hash`.
#[derive(Clone)]
struct DepthState<S> {
    state: S,
    depth: usize,
}

impl<S: Hash> Hash for DepthState<S> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.state.hash(hasher);
    }
}

impl<S: PartialEq> PartialEq for DepthState<S> {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl<S: Eq> Eq for DepthState<S> {}

/// Explores reachable states breadth-first until one breaks an invariant.
pub fn explore<S, N>(
    limit: usize,
    start: S,
    next: impl Fn(&S) -> N,
    violation: impl Fn(&S) -> Option<String>,
) -> Exploration<S>
where
    S: Clone + Eq + Hash,
    N: IntoIterator<Item = S>,
{
    let explored = Cell::new(0);
    let complete_depth = Cell::new(None);
    let start = DepthState {
        state: start,
        depth: 0,
    };
    let successors = |at: &DepthState<S>| {
        if explored.get() >= limit {
            if complete_depth.get().is_none() {
                complete_depth.set(Some(at.depth));
            }
            return Vec::new();
        }
        explored.set(explored.get() + 1);
        let depth = at.depth + 1;
        next(&at.state)
            .into_iter()
            .map(|state| DepthState { state, depth })
            .collect()
    };
    let path = bfs(&start, successors, |at| violation(&at.state).is_some());
    let violation = path.and_then(|path| {
        let path: Vec<_> = path.into_iter().map(|at| at.state).collect();
        let reason = path.last().and_then(&violation)?;
        Some((reason, path))
    });
    Exploration {
        explored: explored.get(),
        complete_depth: complete_depth.get(),
        violation,
    }
}

/// Follows one random path, longer than an exploration can reach; returns the path if it
/// ends in a broken invariant.
pub fn random_walk<S, N>(
    start: S,
    next: impl Fn(&S) -> N,
    violation: impl Fn(&S) -> Option<String>,
    seed: u64,
    steps: usize,
) -> Option<(String, Vec<S>)>
where
    S: Clone,
    N: IntoIterator<Item = S>,
{
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut path = vec![start];
    for _ in 0..steps {
        let successors: Vec<_> = next(path.last()?).into_iter().collect();
        let state = successors
            .get(rng.usize(0..successors.len().max(1)))?
            .clone();
        let violated = violation(&state);
        path.push(state);
        if let Some(reason) = violated {
            return Some((reason, path));
        }
    }
    None
}

/// Runs random walks with seeds from proptest: the same seeds in each run, or new ones if
/// `RUNRAIL_FREE_SEED` is set.
pub fn random_walks(cases: u32, mut walk: impl FnMut(u64) -> Option<String>) {
    use proptest::test_runner::{Config, RngSeed, TestError, TestRunner};
    let free = std::env::var_os("RUNRAIL_FREE_SEED").is_some();
    let rng_seed = if free {
        RngSeed::Random
    } else {
        RngSeed::Fixed(1)
    };
    let config = Config {
        cases,
        rng_seed,
        failure_persistence: None,
        ..Config::default()
    };
    let walk = std::cell::RefCell::new(&mut walk);
    let result = TestRunner::new(config).run(&proptest::num::u64::ANY, |seed| {
        match (walk.borrow_mut())(seed) {
            Some(reason) => Err(proptest::test_runner::TestCaseError::fail(reason)),
            None => Ok(()),
        }
    });
    if let Err(TestError::Fail(reason, seed)) = result {
        panic!("seed {seed}: {reason}");
    }
}

/// Prints the coverage of an exploration; panics with the path to a broken invariant.
pub fn must_hold<S>(name: &str, found: &Exploration<S>, label: impl Fn(&S) -> &str) {
    println!("{name}: {}", found.coverage());
    if let Some((reason, path)) = &found.violation {
        let steps: Vec<_> = path.iter().map(label).collect();
        panic!("{reason}:\n{}", steps.join("\n"));
    }
}

/// Panics unless switching a rule off has broken an invariant.
pub fn must_break<S>(model: &str, rule: &str, violation: Option<(String, Vec<S>)>) {
    let (reason, path) = violation.unwrap_or_else(|| panic!("no invariant breaks without {rule}"));
    println!(
        "{model} without {rule}: {reason} after {} steps",
        path.len() - 1
    );
}

/// All rules except those that `change` switches off.
pub fn without(change: fn(&mut Rules)) -> Rules {
    let mut rules = Rules::ALL;
    change(&mut rules);
    rules
}
