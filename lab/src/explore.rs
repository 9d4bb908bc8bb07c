//! Exhaustive exploration of a model, bounded.

use stateright::{Checker, HasDiscoveries, Model};
use std::fmt::Debug;
use std::hash::Hash;
use std::time::Instant;

/// More states would not fit into memory: a case that reaches this has not been checked.
pub const MOST_STATES: usize = 3_000_000;

/// Visits every state of a model, or stops at `until`; says how many there were.
///
/// # Panics
/// There are more than [`MOST_STATES`].
pub fn explore<M>(name: &str, model: M, until: HasDiscoveries) -> impl Checker<M> + use<M>
where
    M: Model + Send + Sync + 'static,
    M::State: Clone + Debug + Hash + PartialEq + Send + Sync + 'static,
    M::Action: Clone + Debug + PartialEq + Send + Sync + 'static,
{
    let begun = Instant::now();
    let checker = model
        .checker()
        .threads(2)
        .target_state_count(MOST_STATES)
        .finish_when(until)
        .spawn_bfs()
        .join();
    println!(
        "{name}: {} states in {:.1} s",
        checker.unique_state_count(),
        begun.elapsed().as_secs_f64()
    );
    assert!(
        checker.unique_state_count() < MOST_STATES,
        "cut short: not all orders were seen"
    );
    checker
}
