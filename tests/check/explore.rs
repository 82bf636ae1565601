use std::cell::Cell;
use std::fmt::Debug;
use std::hash::Hash;

use pathfinding::prelude::bfs;

/// What an exploration found.
#[derive(Debug)]
pub struct Found<S> {
    /// States whose successors were computed.
    pub explored: usize,
    /// Shortest way to a state that breaks an invariant, with the invariant.
    pub broken: Option<(String, Vec<S>)>,
}

/// Explores every reachable state until one breaks an invariant.
pub fn explore<S, N>(
    start: S,
    next: impl Fn(&S) -> N,
    broken: impl Fn(&S) -> Option<String>,
) -> Found<S>
where
    S: Clone + Eq + Hash + Debug,
    N: IntoIterator<Item = S>,
{
    let explored = Cell::new(0);
    let path = bfs(
        &start,
        |s| {
            explored.set(explored.get() + 1);
            next(s)
        },
        |s| broken(s).is_some(),
    );
    let broken = path.and_then(|path| {
        let why = path.last().and_then(&broken)?;
        Some((why, path))
    });
    Found {
        explored: explored.get(),
        broken,
    }
}
