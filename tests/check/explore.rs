use std::cell::Cell;
use std::hash::{Hash, Hasher};

use pathfinding::prelude::bfs;
use runrail::logic::Rules;

/// States explored at most; beyond that an exploration is bounded, not exhaustive.
pub const LIMIT: usize = 330_000;

/// What an exploration found.
#[derive(Debug)]
pub struct Found<S> {
    /// States whose successors were computed.
    pub explored: usize,
    /// Steps up to which every state was explored; `None` when all states were.
    pub bound: Option<usize>,
    /// Shortest way to a state that breaks an invariant, with the invariant.
    pub broken: Option<(String, Vec<S>)>,
}

impl<S> Found<S> {
    /// Describes how far it went.
    pub fn reach(&self) -> String {
        match self.bound {
            None => format!("{} states, all there are", self.explored),
            Some(depth) => format!("{} states, all within {depth} steps", self.explored),
        }
    }
}

/// A state with its distance from the start, which doesn't tell states apart.
#[derive(Clone)]
struct At<S> {
    state: S,
    depth: usize,
}

impl<S: Hash> Hash for At<S> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.state.hash(hasher);
    }
}

impl<S: PartialEq> PartialEq for At<S> {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl<S: Eq> Eq for At<S> {}

/// Explores reachable states, nearest first, until one breaks an invariant.
pub fn explore<S, N>(
    limit: usize,
    start: S,
    next: impl Fn(&S) -> N,
    broken: impl Fn(&S) -> Option<String>,
) -> Found<S>
where
    S: Clone + Eq + Hash,
    N: IntoIterator<Item = S>,
{
    let explored = Cell::new(0);
    let bound = Cell::new(None);
    let start = At {
        state: start,
        depth: 0,
    };
    let successors = |at: &At<S>| {
        if explored.get() >= limit {
            if bound.get().is_none() {
                bound.set(Some(at.depth));
            }
            return Vec::new();
        }
        explored.set(explored.get() + 1);
        let depth = at.depth + 1;
        next(&at.state)
            .into_iter()
            .map(|state| At { state, depth })
            .collect()
    };
    let path = bfs(&start, successors, |at| broken(&at.state).is_some());
    let broken = path.and_then(|path| {
        let path: Vec<_> = path.into_iter().map(|at| at.state).collect();
        let why = path.last().and_then(&broken)?;
        Some((why, path))
    });
    Found {
        explored: explored.get(),
        bound: bound.get(),
        broken,
    }
}

/// Walks at random, far beyond what can be explored; returns the way to a fault.
pub fn walk<S, N>(
    start: S,
    next: impl Fn(&S) -> N,
    broken: impl Fn(&S) -> Option<String>,
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
        let all: Vec<_> = next(path.last()?).into_iter().collect();
        let state = all.get(rng.usize(0..all.len().max(1)))?.clone();
        let fault = broken(&state);
        path.push(state);
        if let Some(why) = fault {
            return Some((why, path));
        }
    }
    None
}

/// Random walks by proptest: the same in CI, others with `RUNRAIL_FREE_SEED` set.
pub fn walks(cases: u32, mut walk: impl FnMut(u64) -> Option<String>) {
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
            Some(why) => Err(proptest::test_runner::TestCaseError::fail(why)),
            None => Ok(()),
        }
    });
    if let Err(TestError::Fail(why, seed)) = result {
        panic!("seed {seed}: {why}");
    }
}

/// Prints how far an exploration went, and fails with the way to a fault.
pub fn must_hold<S>(name: &str, found: &Found<S>, label: impl Fn(&S) -> &str) {
    println!("{name}: {}", found.reach());
    if let Some((why, path)) = &found.broken {
        let steps: Vec<_> = path.iter().map(label).collect();
        panic!("{why}:\n{}", steps.join("\n"));
    }
}

/// Fails unless switching a rule off has led to a fault.
pub fn must_break<S>(model: &str, rule: &str, broken: Option<(String, Vec<S>)>) {
    let (why, path) = broken.unwrap_or_else(|| panic!("nothing fails without {rule}"));
    println!(
        "{model} without {rule}: {why} after {} steps",
        path.len() - 1
    );
}

/// All rules but one.
pub fn off(change: fn(&mut Rules)) -> Rules {
    let mut rules = Rules::ALL;
    change(&mut rules);
    rules
}
