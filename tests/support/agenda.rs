//! What the days of many modules on one clock are made of: random numbers from a seed, and what is to happen when.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use whinhaven::routing::types::Micros;

/// SplitMix64.
pub struct Random(pub u64);

impl Random {
    /// Between 0 and 1.
    pub fn unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// What is to happen, by its time; what is due at once, in the order in which it was entered.
pub struct Agenda<T> {
    times: BinaryHeap<Reverse<(Micros, u64)>>,
    what: BTreeMap<u64, T>,
    count: u64,
}

impl<T> Agenda<T> {
    pub fn new() -> Self {
        Agenda {
            times: BinaryHeap::new(),
            what: BTreeMap::new(),
            count: 0,
        }
    }

    /// A number that was not given before.
    pub fn number(&mut self) -> u64 {
        self.count += 1;
        self.count
    }

    pub fn enter(&mut self, at: Micros, what: T) {
        let number = self.number();
        self.times.push(Reverse((at, number)));
        self.what.insert(number, what);
    }

    /// The next thing and its time.
    pub fn next(&mut self) -> Option<(Micros, T)> {
        let Reverse((at, number)) = self.times.pop()?;
        self.what.remove(&number).map(|what| (at, what))
    }
}
