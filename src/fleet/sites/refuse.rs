//! Admission of new requests: which requests are refused (the same ones at all routers of a site), and how many each
//! router may take at most.

use super::plan::{Allocation, Plans};
use crate::routing::types::{Endpoint, Micros, Role, Status};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The full share. Levels and shares are counted in millionths.
const FULL_SHARE: u64 = 1_000_000;
/// A router may take this many seconds' worth of its share at once, because arrivals are bursty.
const BURST_S: u64 = 2;
/// Minimum burst, in requests, of every class of which the router may take any.
const MIN_BURST_REQUESTS: u64 = 4;

/// One route of a class's requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Route {
    /// Site whose prefill workers read the prompt.
    pub prefill_site: usize,
    /// Site whose decode workers stream the answer.
    pub decode_site: usize,
    /// Share of the requests of the class that the router sends this way, in millionths.
    pub share: u32,
}

/// The allocation of one router: its part of an [`Allocation`] of all routers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RouterAllocation {
    /// Epoch of the [`super::epoch::SiteTable`] that it follows.
    pub epoch: u64,
    /// Whether anything differs from normal operation; if not, the weights of hosts stay as they are.
    pub degraded: bool,
    /// For each class and tenant the admission level in millionths: requests whose key hashes below it are admitted.
    pub levels: Vec<Vec<u32>>,
    /// For each class, the most requests that this router takes in 1,000 seconds. `None` if the configuration expects
    /// none of the class here, so that no plan limits it.
    pub max_per_1000_s: Vec<Option<u64>>,
    /// For each class the routes that its requests take.
    pub routes: Vec<Vec<Route>>,
    /// For each site, factors for the weights of its prefill workers and of its decode workers, in millionths; 0:
    /// nothing new goes there.
    pub weights: Vec<[u32; 2]>,
}

impl RouterAllocation {
    /// The part of one router: the allocation of its site `entry`, divided by the number of routers that the
    /// configuration gives the site. `upper` bounds what the router may admit.
    pub fn for_router(
        plans: &Plans,
        allocation: &Allocation,
        upper: &Allocation,
        entry: usize,
        epoch: u64,
        degraded: bool,
    ) -> Self {
        let fleet = plans.fleet();
        let (sites, classes) = (fleet.site_count(), fleet.class_count());
        let routers = f64::from(fleet.tables.site[entry].routers);
        let millionths = |share: f64| (share.clamp(0.0, 1.0) * FULL_SHARE as f64).floor() as u32;
        let routes = |c: usize| -> Vec<Route> {
            let total = allocation.admitted_rate(c, entry);
            let route = |prefill_site: usize, decode_site: usize| {
                let share = if total > 0.0 {
                    allocation.rate(c, entry, prefill_site, decode_site) / total
                } else {
                    0.0
                };
                Route {
                    prefill_site,
                    decode_site,
                    share: millionths(share),
                }
            };
            let pairs = (0..sites).flat_map(|p| (0..sites).map(move |d| (p, d)));
            pairs
                .map(|(prefill_site, decode_site)| route(prefill_site, decode_site))
                .filter(|route| route.share > 0)
                .collect()
        };
        // The weight factor of a site is its load relative to its capacity, scaled so that the most loaded site's
        // hosts keep their full weight.
        let factors =
            |load_at: &dyn Fn(usize, usize) -> f64, capacity: &dyn Fn(usize) -> f64| -> Vec<u32> {
                let load = |s: usize| (0..classes).map(|c| load_at(c, s)).sum::<f64>();
                let utilization: Vec<f64> = (0..sites)
                    .map(|s| {
                        if capacity(s) > 0.0 {
                            load(s) / capacity(s)
                        } else {
                            0.0
                        }
                    })
                    .collect();
                let max = utilization.iter().copied().fold(0.0, f64::max);
                utilization
                    .iter()
                    .map(|v| {
                        if max > 0.0 {
                            millionths(v / max)
                        } else {
                            FULL_SHARE as u32
                        }
                    })
                    .collect()
            };
        let prompt_tokens = |c: usize| fleet.tables.classes[c].prompt_tokens;
        let answer_tokens = |c: usize| fleet.tables.classes[c].answer_tokens;
        let capacity = |s: usize, stage: usize| {
            let c = &fleet.capacity[s];
            [
                c.prefill_tokens_per_s + c.mixed[0],
                c.decode_tokens_per_s + c.mixed[2],
            ][stage]
        };
        let prefill = factors(
            &|c, s| allocation.prefill_rate(c, entry, s) * prompt_tokens(c),
            &|s| capacity(s, 0),
        );
        let decode = factors(
            &|c, s| allocation.decode_rate(c, entry, s) * answer_tokens(c),
            &|s| capacity(s, 1),
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
                    let rate = upper.admitted_rate(c, entry) / routers * 1e3;
                    (expected || rate > 0.0).then_some(rate.floor() as u64)
                })
                .collect(),
            routes: (0..classes).map(routes).collect(),
            weights: prefill
                .into_iter()
                .zip(decode)
                .map(|(p, d)| [p, d])
                .collect(),
        }
    }

    /// The route of a request of a class, chosen by the hash of its key in proportion to the shares of the routes.
    pub fn pick_route(&self, class: usize, key: &[u8]) -> Option<&Route> {
        let routes = self.routes.get(class)?;
        let total: u64 = routes.iter().map(|route| u64::from(route.share)).sum();
        let hash = xxh3_64_with_seed(key, 1);
        let mut remaining = ((u128::from(hash) * u128::from(total)) >> 64) as u64;
        for route in routes {
            if remaining < u64::from(route.share) {
                return Some(route);
            }
            remaining -= u64::from(route.share);
        }
        routes.last()
    }

    /// Applies the weights to a list of hosts: scales them, and marks hosts as `Draining` where nothing new may go.
    /// `role` gives the role of a kind; `site` gives the index of the site of a zone.
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

/// The decision on a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Admission {
    /// The request is admitted. If its class has a rate limit, a new request has been counted against it.
    Accept,
    /// The request is refused before anything was sent for it.
    Refuse {
        /// How long the client should wait before it tries again.
        retry_after: Micros,
        /// Whether the admission level refused it, as every router of the site would. Otherwise this router has taken
        /// its share.
        by_level: bool,
    },
}

/// Admission control of one router.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AdmissionGate {
    allocation: RouterAllocation,
    /// For each class its token bucket: tokens in millionths of a request, and when it was last refilled.
    buckets: Vec<(u64, Micros)>,
    /// Shortest and longest delay after which a refused client is asked to retry.
    retry_range: (Micros, Micros),
}

impl AdmissionGate {
    /// A gate that admits everything until it has an allocation. Clients that are refused are asked to retry after
    /// `min_retry` to `max_retry`.
    pub fn new(min_retry: Micros, max_retry: Micros) -> Self {
        AdmissionGate {
            allocation: RouterAllocation::default(),
            buckets: Vec::new(),
            retry_range: (min_retry, max_retry.max(min_retry)),
        }
    }

    /// Returns the allocation in force; until [`Self::set_allocation`] is called, one that admits all.
    pub fn allocation(&self) -> &RouterAllocation {
        &self.allocation
    }

    /// Puts a new allocation in force. Tokens that are left are kept, up to what the new allocation allows.
    pub fn set_allocation(&mut self, now: Micros, allocation: RouterAllocation) {
        for class in 0..self.buckets.len() {
            self.refill(now, class);
        }
        self.allocation = allocation;
        let max_tokens = |class: usize| bucket_size(&self.allocation, class);
        self.buckets = (0..self.allocation.max_per_1000_s.len())
            .map(|class| match self.buckets.get(class) {
                Some((tokens, _)) => ((*tokens).min(max_tokens(class)), now),
                None => (max_tokens(class), now),
            })
            .collect();
    }

    fn refill(&mut self, now: Micros, class: usize) {
        let max_tokens = bucket_size(&self.allocation, class);
        let rate = self
            .allocation
            .max_per_1000_s
            .get(class)
            .copied()
            .flatten()
            .unwrap_or(0);
        if let Some((tokens, refilled_at)) = self.buckets.get_mut(class) {
            // The rate is in requests per 1,000 s. Multiplied by microseconds and divided by 1,000, it gives
            // millionths of a request.
            let more = u128::from(rate) * u128::from(now.saturating_sub(*refilled_at)) / 1_000;
            *tokens = (u128::from(*tokens) + more).min(u128::from(max_tokens)) as u64;
            *refilled_at = now.max(*refilled_at);
        }
    }

    /// Decides on a new request. `key` is the name that the client gives the request on every retry, or its session.
    /// `in_progress` means that the request was admitted before and continues; it is never refused here.
    pub fn check(
        &mut self,
        now: Micros,
        class: usize,
        tenant: usize,
        key: &[u8],
        in_progress: bool,
    ) -> Admission {
        let Some(levels) = self.allocation.levels.get(class).filter(|_| !in_progress) else {
            return Admission::Accept;
        };
        let level = levels
            .get(tenant)
            .or(levels.first())
            .copied()
            .unwrap_or(FULL_SHARE as u32);
        // The high bits of the hash decide. The retry advice uses another hash.
        let hash = xxh3_64(key);
        let hashed_level = ((u128::from(hash) * u128::from(FULL_SHARE)) >> 64) as u64;
        let (min_retry, max_retry) = self.retry_range;
        let spread = xxh3_64_with_seed(key, now) % (max_retry - min_retry + 1);
        let refuse = |by_level| Admission::Refuse {
            retry_after: min_retry + spread,
            by_level,
        };
        if hashed_level >= u64::from(level) {
            return refuse(true);
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
        match self.buckets.get_mut(class) {
            Some((tokens, _)) if *tokens >= TOKENS_PER_REQUEST => {
                *tokens -= TOKENS_PER_REQUEST;
                Admission::Accept
            }
            Some(_) => refuse(false),
            None => Admission::Accept,
        }
    }
}

/// One request, in the unit in which the buckets count: millionths.
const TOKENS_PER_REQUEST: u64 = 1_000_000;

fn bucket_size(allocation: &RouterAllocation, class: usize) -> u64 {
    let rate = allocation
        .max_per_1000_s
        .get(class)
        .copied()
        .flatten()
        .unwrap_or(0);
    if rate == 0 {
        0
    } else {
        rate.saturating_mul(BURST_S * 1_000)
            .max(MIN_BURST_REQUESTS * TOKENS_PER_REQUEST)
    }
}
