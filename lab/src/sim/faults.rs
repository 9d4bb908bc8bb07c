//! Fault scripts, drawn from a seed.

use super::network::Link;
use super::world::{Machine, World};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use whinhaven::routing::types::Micros;

/// One fault, or the end of one.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A machine ends without a word.
    Crash(usize),
    /// It starts again, in a new life.
    Start(usize),
    /// It stops (SIGSTOP, a stalled machine).
    Pause(usize),
    /// It runs on.
    Resume(usize),
    /// It goes as planned.
    Leave(usize),
    /// One direction of one link is cut.
    Cut(usize, usize),
    /// All links between the two sets are cut, both ways or towards the second set only.
    Split(Vec<usize>, Vec<usize>, bool),
    /// All cuts heal.
    Heal,
    /// All links change.
    Links(Link),
}

/// When, and what.
pub type Script = Vec<(Micros, Fault)>;

/// Draws a script of `count` faults among `nodes` nodes in the time `from..to`. Ends are faults of their own, so a
/// script may leave anything broken; [`settle`] ends all but crashes.
pub fn script(seed: u64, nodes: usize, count: usize, (from, to): (Micros, Micros)) -> Script {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut script = Vec::new();
    for _ in 0..count {
        let at = rng.random_range(from..to);
        let node = rng.random_range(0..nodes);
        let other = rng.random_range(0..nodes);
        let fault = match rng.random_range(0..12) {
            0 | 1 => Fault::Crash(node),
            2 | 3 => Fault::Start(node),
            4 => Fault::Pause(node),
            5 => Fault::Resume(node),
            6 => Fault::Leave(node),
            7 => Fault::Cut(node, other),
            8 => {
                let cut: Vec<usize> = (0..nodes).filter(|_| rng.random_bool(0.5)).collect();
                let rest = (0..nodes).filter(|node| !cut.contains(node)).collect();
                Fault::Split(cut, rest, rng.random_bool(0.7))
            }
            9 | 10 => Fault::Heal,
            _ => {
                let loss = *[0.0, 0.02, 0.1, 0.3].choose(&mut rng).unwrap_or(&0.0);
                let most = *[1_300, 20_000, 120_000].choose(&mut rng).unwrap_or(&1_300);
                let duplicate = if rng.random_bool(0.3) { 0.1 } else { 0.0 };
                Fault::Links(Link {
                    loss,
                    duplicate,
                    delay: (700, most),
                })
            }
        };
        script.push((at, fault));
    }
    script.sort_by_key(|(at, _)| *at);
    script
}

/// Puts one fault in. `start` makes the machine of a node's next life and `leave` sends one off.
pub fn put_in<T: Machine>(
    world: &mut World<T>,
    fault: &Fault,
    start: &mut impl FnMut(&mut World<T>, usize),
    leave: &mut impl FnMut(&mut World<T>, usize),
) {
    match fault {
        Fault::Crash(node) => world.crash(*node),
        Fault::Start(node) => start(world, *node),
        Fault::Pause(node) => world.pause(*node),
        Fault::Resume(node) => world.resume(*node),
        Fault::Leave(node) => leave(world, *node),
        Fault::Cut(from, to) => world.network.cut(*from, *to),
        Fault::Split(one, other, both) => {
            for a in one {
                for b in other {
                    world.network.cut(*a, *b);
                    if *both {
                        world.network.cut(*b, *a);
                    }
                }
            }
        }
        Fault::Heal => world.network.heal_all(),
        Fault::Links(link) => world.network.set_link(link.clone()),
    }
}

/// Ends all faults but crashes.
pub fn settle<T: Machine>(world: &mut World<T>) {
    world.network.heal_all();
    world.network.set_link(Link::default());
    (0..world.nodes())
        .filter(|node| world.paused(*node))
        .collect::<Vec<_>>()
        .into_iter()
        .for_each(|node| {
            world.resume(node);
        });
}
