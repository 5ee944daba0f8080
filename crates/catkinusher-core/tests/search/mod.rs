//! Breadth-first search over all states of a small model.

use std::collections::{HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

/// A model that can enumerate its successor states.
pub trait Model: Clone + Hash {
    /// The possible next events, each with its label and the state after it.
    fn next(&self) -> Vec<(String, Self)>;

    /// The invariant that this state violates, if any.
    fn fault(&self) -> Option<String>;
}

/// The result of a search.
#[derive(Debug)]
pub struct Found {
    pub states: usize,
    pub fault: Option<String>,
    pub path: Vec<String>,
}

/// The number of states at which the search panics, because the model is not small any more.
const STATE_LIMIT: usize = 1_000_000;

/// Visits all reachable states in breadth-first order, up to the first faulty one.
pub fn explore<M>(start: M) -> Found
where
    M: Model,
{
    let mut seen = HashSet::from([digest(&start)]);
    let mut parents = vec![(String::new(), 0)];
    let mut queue = VecDeque::from([(0, start)]);
    while let Some((index, state)) = queue.pop_front() {
        assert!(seen.len() < STATE_LIMIT, "too many states");
        if let Some(fault) = state.fault() {
            return Found {
                states: seen.len(),
                fault: Some(fault),
                path: path(&parents, index),
            };
        }
        for (label, next) in state.next() {
            if seen.insert(digest(&next)) {
                parents.push((label, index));
                queue.push_back((parents.len() - 1, next));
            }
        }
    }
    Found {
        states: seen.len(),
        fault: None,
        path: Vec::new(),
    }
}

fn digest<M>(state: &M) -> u64
where
    M: Hash,
{
    let mut hasher = DefaultHasher::new();
    state.hash(&mut hasher);
    hasher.finish()
}

fn path(parents: &[(String, usize)], mut index: usize) -> Vec<String> {
    let mut steps = Vec::new();
    while index != 0 {
        steps.push(parents[index].0.clone());
        index = parents[index].1;
    }
    steps.reverse();
    steps
}
