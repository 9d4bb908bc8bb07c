//! At the door: who is refused, the same at all conductors of a site, and what each conductor may take at the most.

use super::plan::{Allocation, Plans};
use crate::routing::types::{Endpoint, Micros, Role, Status};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Levels and parts are counted in millionths.
const FULL_SHARE: u64 = 1_000_000;
/// Seconds' worth of its part that a conductor may take at once: arrivals come in clumps.
const BURST_S: u64 = 2;
/// And so many requests at least.
const FEW: u64 = 4;

/// One way of a class's requests, with its part in millionths.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Route {
    /// The reading site.
    pub prefill_site: usize,
    /// The writing site.
    pub decode_site: usize,
    /// Its part of what the conductor takes of the class.
    pub share: u32,
}

/// What one conductor does: its part of a allocation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RouterAllocation {
    /// The epoch of the table that they follow.
    pub epoch: u64,
    /// Whether anything is other than usual: if not, hosts' weights stay as they are.
    pub degraded: bool,
    /// For each class and tenant the level, in millionths: what hashes below it is taken.
    pub levels: Vec<Vec<u32>>,
    /// For each class, requests in 1,000 seconds that this conductor takes at most; `None`: the file expects none of it
    /// here, so that no plan limits it.
    pub max_per_1000_s: Vec<Option<u64>>,
    /// For each class the routes its requests go.
    pub routes: Vec<Vec<Route>>,
    /// For each site, factors for the weights of its readers and of its writers, in millionths; 0: nothing new there.
    pub weights: Vec<[u32; 2]>,
}

impl RouterAllocation {
    /// One conductor's part of a allocation: its entry's, divided by the conductors that the file gives the site.
    pub fn for_router(
        plans: &Plans,
        allocation: &Allocation,
        most: &Allocation,
        entry: usize,
        epoch: u64,
        degraded: bool,
    ) -> Self {
        let fleet = plans.fleet();
        let (sites, classes) = (fleet.site_count(), fleet.class_count());
        let routers = f64::from(fleet.tables.site[entry].routers);
        let millionths = |part: f64| (part.clamp(0.0, 1.0) * FULL_SHARE as f64).floor() as u32;
        let routes = |c: usize| -> Vec<Route> {
            let all = allocation.taken(c, entry);
            let way = |prefill_site: usize, decode_site: usize| {
                let part = if all > 0.0 {
                    allocation.rate(c, entry, prefill_site, decode_site) / all
                } else {
                    0.0
                };
                Route {
                    prefill_site,
                    decode_site,
                    share: millionths(part),
                }
            };
            let pairs = (0..sites).flat_map(|r| (0..sites).map(move |w| (r, w)));
            pairs
                .map(|(r, w)| way(r, w))
                .filter(|w| w.share > 0)
                .collect()
        };
        // What goes to each site, over what it can do: the best served site's hosts keep their whole weight.
        let factors = |at: &dyn Fn(usize, usize) -> f64, can: &dyn Fn(usize) -> f64| -> Vec<u32> {
            let sum = |s: usize| (0..classes).map(|c| at(c, s)).sum::<f64>();
            let per: Vec<f64> = (0..sites)
                .map(|s| if can(s) > 0.0 { sum(s) / can(s) } else { 0.0 })
                .collect();
            let most = per.iter().copied().fold(0.0, f64::max);
            per.iter()
                .map(|v| {
                    if most > 0.0 {
                        millionths(v / most)
                    } else {
                        FULL_SHARE as u32
                    }
                })
                .collect()
        };
        let prompt = |c: usize| fleet.tables.classes[c].prompt_tokens;
        let answer = |c: usize| fleet.tables.classes[c].answer_tokens;
        let can = |s: usize, k: usize| {
            let c = &fleet.capacity[s];
            [
                c.prefill_tokens_per_s + c.mixed[0],
                c.decode_tokens_per_s + c.mixed[2],
            ][k]
        };
        let read = factors(&|c, s| allocation.read_at(c, entry, s) * prompt(c), &|s| {
            can(s, 0)
        });
        let write = factors(
            &|c, s| allocation.written_at(c, entry, s) * answer(c),
            &|s| can(s, 1),
        );
        RouterAllocation {
            epoch,
            degraded,
            levels: (allocation.levels.iter())
                .map(|tenants| {
                    tenants
                        .iter()
                        .map(|by_entry| millionths(by_entry[entry]))
                        .collect()
                })
                .collect(),
            max_per_1000_s: (0..classes)
                .map(|c| {
                    let expected = fleet.demand[c].iter().any(|by_site| by_site[entry] > 0.0);
                    let takes = most.taken(c, entry) / routers * 1e3;
                    (expected || takes > 0.0).then_some(takes.floor() as u64)
                })
                .collect(),
            routes: (0..classes).map(routes).collect(),
            weights: read.into_iter().zip(write).map(|(r, w)| [r, w]).collect(),
        }
    }

    /// The way of a request, drawn by its key.
    pub fn pick_route(&self, class: usize, key: &[u8]) -> Option<&Route> {
        let routes = self.routes.get(class)?;
        let all: u64 = routes.iter().map(|w| u64::from(w.share)).sum();
        let drawn = xxh3_64_with_seed(key, 1);
        let mut left = ((u128::from(drawn) * u128::from(all)) >> 64) as u64;
        for way in routes {
            if left < u64::from(way.share) {
                return Some(way);
            }
            left -= u64::from(way.share);
        }
        routes.last()
    }

    /// Writes the allocation into a list of hosts: weights, and `Draining` where nothing new goes. `role` says what a
    /// kind does; `site` gives the number of a zone.
    pub fn apply_weights(
        &self,
        entries: &mut [Endpoint],
        role: impl Fn(&str) -> Option<Role>,
        site: impl Fn(&str) -> Option<usize>,
    ) {
        if !self.degraded {
            return;
        }
        for entry in entries {
            let Some(factors) = site(&entry.zone).and_then(|s| self.weights.get(s)) else {
                continue;
            };
            let factor = match role(&entry.kind) {
                Some(Role::Prefill) => factors[0],
                Some(Role::Decode) => factors[1],
                _ => factors[0].max(factors[1]),
            };
            if factor == 0 {
                if entry.status == Status::Ready {
                    entry.status = Status::Draining;
                }
            } else {
                entry.weight *= f64::from(factor) / FULL_SHARE as f64;
            }
        }
    }
}

/// What the door says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Admission {
    /// Come in.
    Accept,
    /// Refused before anything was sent.
    Refuse {
        /// When to come back.
        retry_after: Micros,
        /// Whether the level refused it, as it does everywhere; else this conductor has taken its part.
        by_level: bool,
    },
}

/// The door of one conductor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AdmissionGate {
    allocation: RouterAllocation,
    /// For each class, requests in hand to be given out, in thousandths of thousandths, and since when.
    left: Vec<(u64, Micros)>,
    retry: (Micros, Micros),
}

impl AdmissionGate {
    /// A door that takes everything until it gets allocation. Who is refused is told to come back after `least` to `most`.
    pub fn new(least: Micros, most: Micros) -> Self {
        AdmissionGate {
            allocation: RouterAllocation::default(),
            left: Vec::new(),
            retry: (least, most.max(least)),
        }
    }

    /// The allocation in force.
    pub fn allocation(&self) -> &RouterAllocation {
        &self.allocation
    }

    /// Takes new allocation: what was left of the old ones is kept, as far as the new ones allow as much.
    pub fn set_allocation(&mut self, now: Micros, allocation: RouterAllocation) {
        for class in 0..self.left.len() {
            self.refill(now, class);
        }
        self.allocation = allocation;
        let most = |class: usize| most_left(&self.allocation, class);
        self.left = (0..self.allocation.max_per_1000_s.len())
            .map(|class| match self.left.get(class) {
                Some((left, _)) => ((*left).min(most(class)), now),
                None => (most(class), now),
            })
            .collect();
    }

    fn refill(&mut self, now: Micros, class: usize) {
        let most = most_left(&self.allocation, class);
        let rate = self
            .allocation
            .max_per_1000_s
            .get(class)
            .copied()
            .flatten()
            .unwrap_or(0);
        if let Some((left, at)) = self.left.get_mut(class) {
            // Requests in 1,000 s, times microseconds, are thousandths of millionths of a request.
            let more = u128::from(rate) * u128::from(now.saturating_sub(*at)) / 1_000;
            *left = (u128::from(*left) + more).min(u128::from(most)) as u64;
            *at = now.max(*at);
        }
    }

    /// Whether a new request is taken. `key` is what the client calls it each time it comes again (or its session);
    /// `in_hand`: it was taken before and goes on, which is never refused here.
    pub fn check(
        &mut self,
        now: Micros,
        class: usize,
        tenant: usize,
        key: &[u8],
        in_hand: bool,
    ) -> Admission {
        let Some(levels) = self.allocation.levels.get(class).filter(|_| !in_hand) else {
            return Admission::Accept;
        };
        let level = levels
            .get(tenant)
            .or(levels.first())
            .copied()
            .unwrap_or(FULL_SHARE as u32);
        // The low bits spread the advice, the rest decides.
        let hash = xxh3_64(key);
        let place = ((u128::from(hash) * u128::from(FULL_SHARE)) >> 64) as u64;
        let (least, most) = self.retry;
        let spread = xxh3_64_with_seed(key, now) % (most - least + 1);
        let refused = |by_level| Admission::Refuse {
            retry_after: least + spread,
            by_level,
        };
        if place >= u64::from(level) {
            return refused(true);
        }
        if self
            .allocation
            .max_per_1000_s
            .get(class)
            .is_none_or(std::option::Option::is_none)
        {
            return Admission::Accept;
        }
        self.refill(now, class);
        match self.left.get_mut(class) {
            Some((left, _)) if *left >= REQUEST => {
                *left -= REQUEST;
                Admission::Accept
            }
            Some(_) => refused(false),
            None => Admission::Accept,
        }
    }
}

/// One request, in the unit in which a door counts: millionths.
const REQUEST: u64 = 1_000_000;

fn most_left(allocation: &RouterAllocation, class: usize) -> u64 {
    let rate = allocation
        .max_per_1000_s
        .get(class)
        .copied()
        .flatten()
        .unwrap_or(0);
    if rate == 0 {
        0
    } else {
        rate.saturating_mul(BURST_S * 1_000).max(FEW * REQUEST)
    }
}
