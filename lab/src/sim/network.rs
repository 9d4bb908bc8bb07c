//! The simulated network: loss, delay, duplication, reordering, cuts in one or both directions.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use whinhaven::routing::types::Micros;

/// What a link does to messages.
#[derive(Clone, Debug, PartialEq)]
pub struct Link {
    /// The part that is lost, from 0 to 1.
    pub loss: f64,
    /// The part that comes twice, from 0 to 1.
    pub duplicate: f64,
    /// The shortest and the longest way. A wide span reorders.
    pub delay: (Micros, Micros),
}

impl Default for Link {
    fn default() -> Link {
        Link {
            loss: 0.0,
            duplicate: 0.0,
            delay: (700, 1300),
        }
    }
}

/// A message on its way out.
#[derive(Clone, Debug)]
pub struct Sent<M> {
    /// To which node.
    pub to: usize,
    /// What.
    pub message: M,
    /// Over a stream: losses are made up for by waiting, cuts in either direction stop it.
    pub reliable: bool,
    /// Its size.
    pub bytes: usize,
}

/// A message that has arrived.
#[derive(Clone, Debug)]
pub struct Arrived<M> {
    /// From which node.
    pub from: usize,
    /// To which node.
    pub to: usize,
    /// What.
    pub message: M,
}

/// What a node has sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Messages.
    pub messages: u64,
    /// Bytes.
    pub bytes: u64,
}

/// The network between nodes 0 to n - 1.
pub struct Network<M> {
    rng: ChaCha8Rng,
    link: Link,
    cuts: BTreeSet<(usize, usize)>,
    on_the_way: BTreeMap<(Micros, u64), Arrived<M>>,
    count: u64,
    sent: Vec<Traffic>,
    /// What the way from one node to another adds to the delay of a link.
    ways: Box<dyn Fn(usize, usize) -> Micros>,
}

/// How long a stream waits before it sends a lost segment again.
const RESEND: Micros = 200_000;

impl<M: Clone> Network<M> {
    /// A network of `nodes` nodes whose links are all like `link`.
    pub fn new(nodes: usize, link: Link, seed: u64) -> Network<M> {
        Network {
            rng: ChaCha8Rng::seed_from_u64(seed),
            link,
            cuts: BTreeSet::new(),
            on_the_way: BTreeMap::new(),
            count: 0,
            sent: vec![Traffic::default(); nodes],
            ways: Box::new(|_, _| 0),
        }
    }

    /// With a further delay that depends on who sends to whom.
    pub fn with_ways(self, ways: impl Fn(usize, usize) -> Micros + 'static) -> Network<M> {
        Network {
            ways: Box::new(ways),
            ..self
        }
    }

    /// Changes all links. What is on its way is not touched.
    pub fn set_link(&mut self, link: Link) {
        self.link = link;
    }

    /// The links as they are.
    pub fn link(&self) -> &Link {
        &self.link
    }

    /// Cuts one direction, also for what is on its way.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }

    /// Heals one direction.
    pub fn heal(&mut self, from: usize, to: usize) {
        self.cuts.remove(&(from, to));
    }

    /// Heals all cuts.
    pub fn heal_all(&mut self) {
        self.cuts.clear();
    }

    /// Whether that direction is cut.
    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.contains(&(from, to))
    }

    /// What a node has sent so far, lost messages included.
    pub fn sent(&self, node: usize) -> Traffic {
        self.sent[node]
    }

    /// Takes a message.
    pub fn send(&mut self, now: Micros, from: usize, sent: Sent<M>) {
        self.sent[from].messages += 1;
        self.sent[from].bytes += sent.bytes as u64;
        let Sent {
            to,
            message,
            reliable,
            ..
        } = sent;
        let mut wait = (self.ways)(from, to);
        let most_wait = wait + 10 * RESEND;
        if reliable {
            if self.is_cut(from, to) || self.is_cut(to, from) {
                return;
            }
            while wait < most_wait && self.lost() {
                wait += RESEND;
            }
        } else if self.lost() {
            return;
        }
        let twice =
            !reliable && self.link.duplicate > 0.0 && self.rng.random_bool(self.link.duplicate);
        for _ in 0..1 + usize::from(twice) {
            let (least, most) = self.link.delay;
            let at = now + wait + self.rng.random_range(least..=most.max(least));
            self.count += 1;
            self.on_the_way.insert(
                (at, self.count),
                Arrived {
                    from,
                    to,
                    message: message.clone(),
                },
            );
        }
    }

    fn lost(&mut self) -> bool {
        self.link.loss > 0.0 && self.rng.random_bool(self.link.loss)
    }

    /// When the next message arrives.
    pub fn next(&self) -> Option<Micros> {
        self.on_the_way.keys().next().map(|(at, _)| *at)
    }

    /// The next message that has arrived by `now`; what meets a cut is lost.
    pub fn arrived(&mut self, now: Micros) -> Option<Arrived<M>> {
        while self.next().is_some_and(|at| at <= now) {
            let (_, arrived) = self.on_the_way.pop_first()?;
            if !self.is_cut(arrived.from, arrived.to) {
                return Some(arrived);
            }
        }
        None
    }
}
