//! Plans for losses: which site serves which requests while sites are missing, computed ahead for each loss by a
//! linear program.
//!
//! A request arrives at the routers of a site (its *entry*), is prefilled at one site and decoded at one site. If
//! these two differ, its KV state crosses the link between them. An [`Allocation`] says how many requests per second
//! of each class take which route, and which share of each class and tenant is admitted at all. A [`Plan`] is the
//! allocation for one [`Loss`], with its figures.

#![allow(
    clippy::needless_range_loop,
    reason = "sites and classes are indexes into several tables at once"
)]

use super::describe::Fleet;
use super::epoch::Condition;
use super::lp::Program;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Factor by which a guaranteed request is worth more than any other, so that guaranteed requests are refused only
/// when there are no others left to refuse.
const GUARANTEED_WORTH_FACTOR: f64 = 1_000.0;
/// Refusing a request at one site, below the level of its class, costs its worth times this factor. So a site refuses
/// more of a class than the others only where that keeps this much more worth; otherwise all refuse alike.
const LOCAL_REFUSAL_FACTOR: f64 = 1.05;
/// Maximum number of transitions whose allocations are cached.
const MAX_CACHED_TRANSITIONS: usize = 16;
/// Maximum factor on a plan's rates up to which a router may admit requests, as far as the limits allow it.
const MAX_RATE_FACTOR: f64 = 4.0;
/// Smaller shares of a limit, or smaller rates in requests per second, are rounding errors.
pub(crate) const EPSILON: f64 = 1e-6;

/// The part of a site that is missing.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Missing {
    /// No part of the site counts as missing; single routers or model hosts may be out of service.
    #[default]
    Nothing,
    /// The routers: clients connect to other sites, the model hosts still serve.
    Routers,
    /// Half of the model hosts.
    HalfHosts,
    /// All model hosts: the routers accept clients and send their requests to other sites.
    Hosts,
    /// The whole site: its routers and all its model hosts.
    All,
}

impl Missing {
    /// The value written to the structured log.
    pub fn as_str(self) -> &'static str {
        match self {
            Missing::Nothing => "nothing",
            Missing::Routers => "entries",
            Missing::HalfHosts => "halfhosts",
            Missing::Hosts => "hosts",
            Missing::All => "all",
        }
    }

    /// Whether the routers are missing, so that clients connect to other sites.
    pub fn routers_missing(self) -> bool {
        matches!(self, Missing::Routers | Missing::All)
    }

    /// Share of the model hosts that serve.
    pub fn remaining_hosts(self) -> f64 {
        match self {
            Missing::Nothing | Missing::Routers => 1.0,
            Missing::HalfHosts => 0.5,
            Missing::Hosts | Missing::All => 0.0,
        }
    }
}

/// The missing part of each site, in the order of the configuration file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Loss(pub Vec<Missing>);

impl Loss {
    /// The loss of a fleet with `sites` sites of which nothing is missing.
    pub fn none(sites: usize) -> Self {
        Loss(vec![Missing::Nothing; sites])
    }

    /// The listed sites are missing as a whole.
    pub fn of_whole_sites(sites: usize, lost: &[usize]) -> Self {
        Loss(
            (0..sites)
                .map(|s| {
                    if lost.contains(&s) {
                        Missing::All
                    } else {
                        Missing::Nothing
                    }
                })
                .collect(),
        )
    }

    /// This loss with another value for one site.
    pub fn with(&self, site: usize, missing: Missing) -> Self {
        let mut loss = self.clone();
        loss.0[site] = missing;
        loss
    }

    /// The loss that a plan is prepared for and that covers this one. Where more than one site is affected, half of
    /// the hosts counts as all hosts, and missing routers count as the loss of the whole site.
    pub fn rounded_up(&self) -> Self {
        if self.0.iter().filter(|m| **m != Missing::Nothing).count() < 2 {
            return self.clone();
        }
        let cover = |m: &Missing| match m {
            Missing::Nothing => Missing::Nothing,
            Missing::HalfHosts | Missing::Hosts => Missing::Hosts,
            Missing::Routers | Missing::All => Missing::All,
        };
        Loss(self.0.iter().map(cover).collect())
    }
}

/// A resource that can be used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Limit {
    /// Prompt tokens per second of a site's prefill workers.
    PrefillRate(usize),
    /// Memory of a site's prefill workers, in tokens of KV state.
    PrefillMemory(usize),
    /// Answer tokens per second of a site's decode workers, as limited by their slots.
    DecodeRate(usize),
    /// Memory of a site's decode workers, in tokens of KV state.
    DecodeMemory(usize),
    /// Tokens of KV state per second on the link from one site to another.
    Link(usize, usize),
}

impl Limit {
    /// The name that operators read.
    pub fn name(self, fleet: &Fleet) -> String {
        let site = |s: usize| fleet.site_name(s);
        match self {
            Limit::PrefillRate(s) => format!("prefill rate at {}", site(s)),
            Limit::PrefillMemory(s) => format!("prefill memory at {}", site(s)),
            Limit::DecodeRate(s) => format!("decode slots at {}", site(s)),
            Limit::DecodeMemory(s) => format!("decode memory at {}", site(s)),
            Limit::Link(a, b) => format!("link {}>{}", site(a), site(b)),
        }
    }
}

/// How much of one limit a plan uses, and the price of the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// The limit that the other fields describe; it gives the unit of `available` and `used`.
    pub limit: Limit,
    /// The available amount under the loss, including hosts that do both stages.
    pub available: f64,
    /// The amount that the plan uses.
    pub used: f64,
    /// Shadow price: the worth per second that doubling the limit would keep, at the margin; 0 where the limit is not
    /// scarce.
    pub price: f64,
}

impl Load {
    /// Share of the available amount in use; 0 if nothing is available.
    pub fn utilization(&self) -> f64 {
        if self.available > 0.0 {
            self.used / self.available
        } else {
            0.0
        }
    }
}

/// Traffic of all routers together: requests per second by class, entry, prefill site and decode site.
#[derive(Clone, Debug, PartialEq)]
pub struct Allocation {
    sites: usize,
    /// For each class, tenant and entry the admission level: a request is admitted if its hash, as a fraction of 1, is
    /// below it.
    pub levels: Vec<Vec<Vec<f64>>>,
    /// The part of each level that is guaranteed to the tenant.
    guaranteed_levels: Vec<Vec<Vec<f64>>>,
    /// Requests per second by [`Allocation::rate_index`].
    rates: Vec<f64>,
    /// For each entry the use of each limit by its requests.
    used: Vec<BTreeMap<Limit, f64>>,
}

impl Allocation {
    fn rate_index(
        &self,
        class: usize,
        entry: usize,
        prefill_site: usize,
        decode_site: usize,
    ) -> usize {
        ((class * self.sites + entry) * self.sites + prefill_site) * self.sites + decode_site
    }

    /// Requests per second of a class from an entry that take this route.
    pub fn rate(&self, class: usize, entry: usize, prefill_site: usize, decode_site: usize) -> f64 {
        self.rates[self.rate_index(class, entry, prefill_site, decode_site)]
    }

    /// Requests per second of a class that are admitted at an entry.
    pub fn admitted_rate(&self, class: usize, entry: usize) -> f64 {
        let start = self.rate_index(class, entry, 0, 0);
        self.rates[start..start + self.sites * self.sites]
            .iter()
            .sum()
    }

    /// Requests per second of a class from an entry that are prefilled at a site.
    pub fn prefill_rate(&self, class: usize, entry: usize, prefill_site: usize) -> f64 {
        let start = self.rate_index(class, entry, prefill_site, 0);
        self.rates[start..start + self.sites].iter().sum()
    }

    /// Requests per second of a class from an entry that are decoded at a site.
    pub fn decode_rate(&self, class: usize, entry: usize, decode_site: usize) -> f64 {
        (0..self.sites)
            .map(|prefill_site| self.rate(class, entry, prefill_site, decode_site))
            .sum()
    }

    /// Every route in use, as class, entry, prefill site and decode site, with its rate in requests per second.
    pub fn routes(&self) -> impl Iterator<Item = ([usize; 4], f64)> + '_ {
        let n = self.sites;
        self.rates
            .iter()
            .enumerate()
            .filter(|(_, rate)| **rate > 0.0)
            .map(move |(i, rate)| ([i / (n * n * n), i / (n * n) % n, i / n % n, i % n], *rate))
    }

    /// Interpolates between this allocation (`fraction` 0) and another (1). The result keeps every limit that both
    /// keep.
    pub fn interpolate(&self, other: &Allocation, fraction: f64) -> Allocation {
        let mix = |a: &f64, b: &f64| {
            if fraction >= 1.0 {
                *b
            } else {
                a + (b - a) * fraction
            }
        };
        let mix_row = |a: &[f64], b: &[f64]| -> Vec<f64> {
            a.iter().zip(b).map(|(a, b)| mix(a, b)).collect()
        };
        let mix_rows =
            |a: &[Vec<f64>], b: &[Vec<f64>]| a.iter().zip(b).map(|(a, b)| mix_row(a, b)).collect();
        let mix_levels = |a: &[Vec<Vec<f64>>], b: &[Vec<Vec<f64>>]| {
            a.iter().zip(b).map(|(a, b)| mix_rows(a, b)).collect()
        };
        Allocation {
            sites: self.sites,
            levels: mix_levels(&self.levels, &other.levels),
            guaranteed_levels: mix_levels(&self.guaranteed_levels, &other.guaranteed_levels),
            rates: mix_row(&self.rates, &other.rates),
            used: (self.used.iter().zip(&other.used))
                .map(|(a, b)| {
                    let usage_of = |usage: &BTreeMap<Limit, f64>, limit: &Limit| {
                        usage.get(limit).copied().unwrap_or(0.0)
                    };
                    let limits = a.keys().chain(b.keys());
                    limits
                        .map(|l| (*l, mix(&usage_of(a, l), &usage_of(b, l))))
                        .collect()
                })
                .collect(),
        }
    }

    /// The smaller rate of both allocations on every route, so that acting by it exceeds no limit in a mix with
    /// either.
    fn pointwise_min(&self, other: &Allocation, request_usage: &RequestUsage) -> Allocation {
        let mut allocation = Allocation {
            rates: self
                .rates
                .iter()
                .zip(&other.rates)
                .map(|(a, b)| a.min(*b))
                .collect(),
            used: Vec::new(),
            ..other.clone()
        };
        allocation.used = request_usage.by_entry(&allocation);
        // Traffic that keeps its route uses no more than before.
        for (now, before) in allocation.used.iter_mut().zip(&self.used) {
            for (limit, used) in now {
                *used = used.min(before.get(limit).copied().unwrap_or(0.0));
            }
        }
        allocation
    }

    /// This allocation with its rates multiplied by `factor`. The admission levels stay, so what is refused by its
    /// hash stays refused.
    fn scaled_by(mut self, factor: f64) -> Allocation {
        self.rates.iter_mut().for_each(|rate| *rate *= factor);
        self.used
            .iter_mut()
            .flat_map(|usage| usage.values_mut())
            .for_each(|used| *used *= factor);
        self
    }

    /// This allocation without the routes that use a site's hosts.
    fn without_site(mut self, site: usize) -> Allocation {
        for i in 0..self.rates.len() {
            let (prefill_site, decode_site) = (i / self.sites % self.sites, i % self.sites);
            if prefill_site == site || decode_site == site {
                self.rates[i] = 0.0;
            }
        }
        // The use of other limits by the removed routes can only fall. It is still counted, which keeps every limit.
        self
    }

    /// The use of a limit by all entries together.
    pub fn usage(&self, limit: Limit) -> f64 {
        self.used.iter().filter_map(|usage| usage.get(&limit)).sum()
    }
}

/// A group of requests that a plan refuses, listed in the order of refusal.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// Index of the class of these requests, in the order of the configuration file.
    pub class: usize,
    /// Whether these requests are guaranteed to tenants; otherwise they are beyond the guarantees.
    pub guaranteed: bool,
    /// Requests per second that arrive.
    pub offered: f64,
    /// Requests per second of them that are refused.
    pub refused: f64,
    /// Worth of a request divided by the price of its use of scarce limits. Below 1 it is refused, above 1 admitted.
    pub worth_to_cost: f64,
}

/// Guaranteed requests that the remaining capacity can't serve.
#[derive(Clone, Debug, PartialEq)]
pub struct Shortfall {
    /// Index of the tenant in [`Fleet::tenants`].
    pub tenant: usize,
    /// Index of the class of these requests, in the order of the configuration file.
    pub class: usize,
    /// Guaranteed requests per second of this tenant and class that arrive, at all entries together.
    pub guaranteed: f64,
    /// Requests per second of them that are refused.
    pub refused: f64,
}

/// Why no plan could be computed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum PlanError {
    /// The linear program could not be solved; the text is the solver's error.
    #[error("the linear program of a plan could not be solved: {0}")]
    Solver(String),
    /// The solution exceeds a limit; the text names the limit and by how much.
    #[error("the solution of a plan exceeds a limit: {0}")]
    LimitExceeded(String),
}

/// The allocation for one loss, with its figures.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The loss that the plan is for.
    pub loss: Loss,
    /// Traffic of all routers together.
    pub allocation: Allocation,
    /// Arriving requests per second by class, tenant and entry.
    pub offered: Vec<Vec<Vec<f64>>>,
    /// Use of each limit that has any capacity under the loss; the sites' limits come before the links.
    pub loads: Vec<Load>,
    /// All groups of requests that could be refused; the first is refused first.
    pub refusal_order: Vec<Refusal>,
    /// Guaranteed requests that can't be served.
    pub shortfalls: Vec<Shortfall>,
    /// Worth per second of all arriving requests.
    pub worth_offered: f64,
    /// Worth per second of the admitted requests.
    pub worth_kept: f64,
    /// Worth per second that is lost to network delay and KV state transfers between sites.
    pub route_cost: f64,
}

/// Use of limits by one request of each class.
struct RequestUsage<'a> {
    fleet: &'a Fleet,
    /// For each class and entry the share of the prompt that is cached, averaged over clients that stay and clients
    /// whose cached prefixes are lost.
    cached_share: Vec<Vec<f64>>,
}

impl<'a> RequestUsage<'a> {
    fn new(fleet: &'a Fleet, loss: &Loss) -> Self {
        let entry_shares = entry_shares(fleet, loss);
        let cached = |c: usize, entry: usize| {
            let class = &fleet.tables.classes[c];
            let cached_if_moved = class.kept_moved.unwrap_or(class.kept / 2.0);
            let (mut total, mut moved) = (0.0, 0.0);
            for (site, missing) in loss.0.iter().enumerate() {
                let demand: f64 = fleet.demand[c].iter().map(|by_site| by_site[site]).sum();
                total += demand * entry_shares[site][entry];
                // Clients whose hosts are gone lose the prefixes cached there, wherever they connect now.
                moved += demand * entry_shares[site][entry] * (1.0 - missing.remaining_hosts());
            }
            let moved_share = if total > 0.0 { moved / total } else { 0.0 };
            class.kept * (1.0 - moved_share) + cached_if_moved * moved_share
        };
        let cached_share = (0..fleet.class_count())
            .map(|c| (0..fleet.site_count()).map(|e| cached(c, e)).collect())
            .collect();
        RequestUsage {
            fleet,
            cached_share,
        }
    }

    /// Use of each limit by the requests of each entry.
    fn by_entry(&self, allocation: &Allocation) -> Vec<BTreeMap<Limit, f64>> {
        let mut by_entry = vec![BTreeMap::new(); allocation.sites];
        for ([class, entry, prefill_site, decode_site], rate) in allocation.routes() {
            for (limit, amount) in self.per_request(class, entry, prefill_site, decode_site) {
                *by_entry[entry].entry(limit).or_insert(0.0) += amount * rate;
            }
        }
        by_entry
    }

    /// Use of each limit by one request of the class from the entry, prefilled and decoded at these sites.
    fn per_request(
        &self,
        class: usize,
        entry: usize,
        prefill_site: usize,
        decode_site: usize,
    ) -> Vec<(Limit, f64)> {
        let c = &self.fleet.tables.classes[class];
        let (prefill, decode) = (
            &self.fleet.capacity[prefill_site],
            &self.fleet.capacity[decode_site],
        );
        let uncached_tokens = c.prompt_tokens * (1.0 - self.cached_share[class][entry]);
        let link =
            self.fleet.links[prefill_site][decode_site].filter(|_| prefill_site != decode_site);
        let transfer_s = link.map_or(0.0, |(rate, delay)| {
            c.prompt_tokens / rate.max(1e-9) + delay / 1e3
        });
        let memory_s = uncached_tokens * prefill.prefill_slot_s_per_token
            + transfer_s
            + self.fleet.tables.hold_s;
        let stream_s = c.answer_tokens * decode.stream_s_per_token;
        let mut usage = vec![
            (Limit::PrefillRate(prefill_site), uncached_tokens),
            (
                Limit::PrefillMemory(prefill_site),
                c.prompt_tokens * memory_s,
            ),
            (Limit::DecodeRate(decode_site), c.answer_tokens),
            (
                Limit::DecodeMemory(decode_site),
                (c.prompt_tokens + c.answer_tokens / 2.0) * stream_s,
            ),
        ];
        if link.is_some() {
            usage.push((Limit::Link(prefill_site, decode_site), c.prompt_tokens));
        }
        usage
    }

    /// Worth that a request loses on this route; `None` if a link is missing.
    fn route_price(
        &self,
        class: usize,
        entry: usize,
        prefill_site: usize,
        decode_site: usize,
    ) -> Option<f64> {
        let delay = |a: usize, b: usize| {
            if a == b {
                Some(0.0)
            } else {
                self.fleet.links[a][b].map(|(_, delay)| delay)
            }
        };
        let delay_ms = delay(entry, prefill_site)?
            + delay(prefill_site, decode_site)?
            + delay(decode_site, entry)?;
        let state_k_tokens = if prefill_site == decode_site {
            0.0
        } else {
            self.fleet.tables.classes[class].prompt_tokens / 1e3
        };
        Some(
            delay_ms * self.fleet.tables.price_per_ms
                + state_k_tokens * self.fleet.tables.price_per_1000_tokens,
        )
    }
}

/// The available amount of each limit under a loss, by site. Hosts of one stage and hosts that do both are kept apart.
/// The four figures of a site are in the order of [`AvailableCapacity::site_and_resource`].
struct AvailableCapacity {
    sites: usize,
    single_stage: Vec<[f64; 4]>,
    mixed: Vec<[f64; 4]>,
    links: Vec<Vec<f64>>,
}

impl AvailableCapacity {
    fn new(fleet: &Fleet, loss: &Loss) -> Self {
        let single_stage = |s: usize| {
            let c = &fleet.capacity[s];
            [
                c.prefill_tokens_per_s,
                c.prefill_memory_tokens,
                c.decode_tokens_per_s,
                c.decode_memory_tokens,
            ]
            .map(|v| v * loss.0[s].remaining_hosts())
        };
        let n = fleet.site_count();
        let link = |a: usize, b: usize| fleet.links[a][b].map_or(0.0, |(rate, _)| rate);
        AvailableCapacity {
            sites: n,
            single_stage: (0..n).map(single_stage).collect(),
            mixed: (0..n)
                .map(|s| {
                    fleet.capacity[s]
                        .mixed
                        .map(|v| v * loss.0[s].remaining_hosts())
                })
                .collect(),
            links: (0..n)
                .map(|a| (0..n).map(|b| link(a, b)).collect())
                .collect(),
        }
    }

    /// The site of a limit and the index of the limit among the four of the site; `None` for a link.
    fn site_and_resource(limit: Limit) -> Option<(usize, usize)> {
        match limit {
            Limit::PrefillRate(s) => Some((s, 0)),
            Limit::PrefillMemory(s) => Some((s, 1)),
            Limit::DecodeRate(s) => Some((s, 2)),
            Limit::DecodeMemory(s) => Some((s, 3)),
            Limit::Link(..) => None,
        }
    }

    fn total(&self, limit: Limit) -> f64 {
        match (limit, Self::site_and_resource(limit)) {
            (_, Some((site, resource))) => {
                self.single_stage[site][resource] + self.mixed[site][resource]
            }
            (Limit::Link(a, b), _) => self.links[a][b],
            _ => 0.0,
        }
    }

    fn limits(&self) -> Vec<Limit> {
        let n = self.sites;
        let site_limits = |s| {
            [
                Limit::PrefillRate(s),
                Limit::PrefillMemory(s),
                Limit::DecodeRate(s),
                Limit::DecodeMemory(s),
            ]
        };
        let links = (0..n).flat_map(|a| (0..n).map(move |b| Limit::Link(a, b)));
        let all = (0..n).flat_map(site_limits).chain(links);
        all.filter(|l| self.total(*l) > 0.0).collect()
    }

    /// The limit that is exceeded most and by which share of it, if each limit may be filled up to `fill`.
    fn worst_excess(&self, used: &BTreeMap<Limit, f64>, fill: f64) -> Option<(Limit, f64)> {
        let mut worst: Option<(Limit, f64)> = None;
        let mut record = |limit: Limit, excess: f64| {
            if excess > EPSILON && worst.is_none_or(|(_, w)| excess > w) {
                worst = Some((limit, excess));
            }
        };
        for (limit, used) in used {
            let total = self.total(*limit);
            if *used > 0.0 {
                record(
                    *limit,
                    if total > 0.0 {
                        used / total - fill
                    } else {
                        f64::INFINITY
                    },
                );
            }
        }
        // Hosts that do both stages prefill for a share of the time and decode for the rest.
        for s in 0..self.sites {
            let mixed_share = |limit: Limit, resource: usize| {
                let beyond = used.get(&limit).copied().unwrap_or(0.0)
                    - self.single_stage[s][resource] * fill;
                if self.mixed[s][resource] > 0.0 {
                    (beyond / self.mixed[s][resource]).max(0.0)
                } else {
                    0.0
                }
            };
            let prefill =
                mixed_share(Limit::PrefillRate(s), 0).max(mixed_share(Limit::PrefillMemory(s), 1));
            let decode =
                mixed_share(Limit::DecodeRate(s), 2).max(mixed_share(Limit::DecodeMemory(s), 3));
            record(Limit::DecodeRate(s), prefill + decode - fill);
        }
        worst
    }
}

/// Worst-case use of each limit if every router may act by any one of the allocations.
fn worst_case_usage(allocations: &[&Allocation]) -> BTreeMap<Limit, f64> {
    let mut sum = BTreeMap::new();
    for entry in 0..allocations.first().map_or(0, |c| c.sites) {
        let mut max: BTreeMap<Limit, f64> = BTreeMap::new();
        for (limit, v) in allocations.iter().flat_map(|c| &c.used[entry]) {
            let slot = max.entry(*limit).or_insert(0.0);
            *slot = slot.max(*v);
        }
        for (limit, v) in max {
            *sum.entry(limit).or_insert(0.0) += v;
        }
    }
    sum
}

/// The limit that some mix of routers, each acting by any one of the allocations, would exceed the most while `loss`
/// is missing, and by which share of it. `None`: no mix exceeds any limit. Sites with missing hosts don't count,
/// because routers that don't know of the loss yet still send there.
pub fn limit_exceeded_by_mix(
    fleet: &Fleet,
    loss: &Loss,
    allocations: &[&Allocation],
) -> Option<(Limit, f64)> {
    let available = AvailableCapacity::new(fleet, loss);
    let hosts_complete = |limit: Limit| {
        AvailableCapacity::site_and_resource(limit)
            .is_none_or(|(s, _)| loss.0[s].remaining_hosts() >= 1.0)
    };
    let usage = worst_case_usage(allocations)
        .into_iter()
        .filter(|(limit, _)| hosts_complete(*limit))
        .collect();
    available.worst_excess(&usage, fleet.tables.fill)
}

/// For each site the shares of its clients that connect to each entry under a loss.
fn entry_shares(fleet: &Fleet, loss: &Loss) -> Vec<Vec<f64>> {
    let n = fleet.site_count();
    let entries: Vec<usize> = (0..n).filter(|s| !loss.0[*s].routers_missing()).collect();
    let shares_of = |site: usize| -> Vec<f64> {
        let mut shares = vec![0.0; n];
        if entries.contains(&site) {
            shares[site] = 1.0;
            return shares;
        }
        let weights = &fleet.tables.site[site].failover_weights;
        for s in &entries {
            shares[*s] = weights.get(fleet.site_name(*s)).copied().unwrap_or(0.0);
        }
        if shares.iter().sum::<f64>() <= 0.0 {
            entries.iter().for_each(|s| shares[*s] = 1.0);
        }
        let sum: f64 = shares.iter().sum();
        if sum > 0.0 {
            shares.iter().map(|v| v / sum).collect()
        } else {
            shares
        }
    };
    (0..n).map(shares_of).collect()
}

/// Arriving requests per second under a loss, by class, tenant and entry.
fn offered_load(fleet: &Fleet, loss: &Loss) -> Vec<Vec<Vec<f64>>> {
    let entry_shares = entry_shares(fleet, loss);
    let by_entry = |by_site: &Vec<f64>| -> Vec<f64> {
        let arriving = |e: usize| {
            by_site
                .iter()
                .zip(&entry_shares)
                .map(|(v, shares)| v * shares[e])
                .sum()
        };
        (0..fleet.site_count()).map(arriving).collect()
    };
    fleet
        .demand
        .iter()
        .map(|tenants| tenants.iter().map(by_entry).collect())
        .collect()
}

/// Computes the plan for a loss.
///
/// # Errors
/// [`PlanError::Solver`] if the linear program can't be solved, [`PlanError::LimitExceeded`] if its solution exceeds a
/// limit.
pub fn compute_plan(fleet: &Fleet, loss: &Loss) -> Result<Plan, PlanError> {
    let (sites, classes, tenants) = (fleet.site_count(), fleet.class_count(), fleet.tenants.len());
    let fill = fleet.tables.fill;
    let (usage, available, offered) = (
        RequestUsage::new(fleet, loss),
        AvailableCapacity::new(fleet, loss),
        offered_load(fleet, loss),
    );
    let offered_rate = |class: usize, tenant: usize| offered[class][tenant].iter().sum::<f64>();
    // The guaranteed share of each tenant's requests, the same for all its classes.
    let guaranteed: Vec<f64> = (0..tenants)
        .map(|tenant| {
            let tenant_total: f64 = (0..classes).map(|class| offered_rate(class, tenant)).sum();
            if tenant_total > 0.0 {
                (fleet.guaranteed[tenant] / tenant_total).min(1.0)
            } else {
                0.0
            }
        })
        .collect();
    let max_worth = fleet.worth.iter().copied().fold(1.0, f64::max);
    let mut program = Program::default();
    // The admitted share of each class beyond guarantees, the same for all tenants, and the admitted share of what is
    // guaranteed.
    let unguaranteed_rate = |class: usize| {
        (0..tenants)
            .map(|tenant| offered_rate(class, tenant) * (1.0 - guaranteed[tenant]))
            .sum::<f64>()
    };
    let unguaranteed_shares: Vec<usize> = (0..classes)
        .map(|class| program.variable(fleet.worth[class] * unguaranteed_rate(class)))
        .collect();
    let guaranteed_rate = |class: usize| {
        (0..tenants)
            .map(|tenant| offered_rate(class, tenant) * guaranteed[tenant])
            .sum::<f64>()
    };
    let guaranteed_shares: Vec<usize> = (0..classes)
        .map(|class| {
            program.variable(
                (max_worth * GUARANTEED_WORTH_FACTOR + fleet.worth[class]) * guaranteed_rate(class),
            )
        })
        .collect();
    let mixed_shares =
        (0..sites).map(|s| (available.mixed[s][0] > 0.0).then(|| program.variable(0.0)));
    let mixed_shares: Vec<Option<usize>> = mixed_shares.collect();
    let mut routes = Vec::new();
    for class in 0..classes {
        for entry in (0..sites).filter(|entry| !loss.0[*entry].routers_missing()) {
            for prefill_site in (0..sites)
                .filter(|prefill_site| available.total(Limit::PrefillRate(*prefill_site)) > 0.0)
            {
                for decode_site in (0..sites)
                    .filter(|decode_site| available.total(Limit::DecodeRate(*decode_site)) > 0.0)
                {
                    if let Some(price) = usage.route_price(class, entry, prefill_site, decode_site)
                    {
                        routes.push((
                            [class, entry, prefill_site, decode_site],
                            program.variable(-price),
                            price,
                        ));
                    }
                }
            }
        }
    }
    // What is admitted at an entry takes some route, or is refused there although the level of the class would admit
    // it.
    let mut balance_rows = vec![vec![None; sites]; classes];
    let mut local_cuts = vec![vec![None; sites]; classes];
    for class in 0..classes {
        for entry in 0..sites {
            let arriving: f64 = (0..tenants)
                .map(|tenant| offered[class][tenant][entry])
                .sum();
            if arriving <= 0.0 {
                continue;
            }
            let local_rest: f64 = (0..tenants)
                .map(|tenant| offered[class][tenant][entry] * (1.0 - guaranteed[tenant]))
                .sum();
            let local_guaranteed: f64 = (0..tenants)
                .map(|tenant| offered[class][tenant][entry] * guaranteed[tenant])
                .sum();
            let cuts = [
                program.variable(-fleet.worth[class] * LOCAL_REFUSAL_FACTOR),
                program.variable(
                    -(max_worth * GUARANTEED_WORTH_FACTOR + fleet.worth[class])
                        * LOCAL_REFUSAL_FACTOR,
                ),
            ];
            local_cuts[class][entry] = Some(cuts);
            program.limit(
                vec![(cuts[0], 1.0), (unguaranteed_shares[class], -local_rest)],
                0.0,
            );
            program.limit(
                vec![
                    (cuts[1], 1.0),
                    (guaranteed_shares[class], -local_guaranteed),
                ],
                0.0,
            );
            let mut terms = vec![
                (unguaranteed_shares[class], local_rest),
                (guaranteed_shares[class], local_guaranteed),
                (cuts[0], -1.0),
                (cuts[1], -1.0),
            ];
            terms.extend(
                routes
                    .iter()
                    .filter(|(route, ..)| route[0] == class && route[1] == entry)
                    .map(|(_, variable, _)| (*variable, -1.0)),
            );
            balance_rows[class][entry] = Some(program.limit(terms, 0.0));
        }
    }
    for share in unguaranteed_shares
        .iter()
        .chain(&guaranteed_shares)
        .copied()
    {
        program.limit(vec![(share, 1.0)], 1.0);
    }
    let limits = available.limits();
    let mut terms: BTreeMap<Limit, Vec<(usize, f64)>> = BTreeMap::new();
    for ([class, entry, prefill_site, decode_site], variable, _) in &routes {
        for (limit, amount) in usage.per_request(*class, *entry, *prefill_site, *decode_site) {
            terms
                .entry(limit)
                .or_default()
                .push((*variable, amount / available.total(limit).max(1e-12)));
        }
    }
    let mut price_rows = BTreeMap::new();
    for limit in &limits {
        let mut row = terms.remove(limit).unwrap_or_default();
        let mut max_use = fill;
        if let Some((site, resource)) = AvailableCapacity::site_and_resource(*limit) {
            let share = available.mixed[site][resource] / available.total(*limit);
            if let Some(prefill_time) = mixed_shares[site].filter(|_| share > 0.0) {
                // `prefill_time` is the share of the time for which hosts that do both stages prefill.
                row.push((
                    prefill_time,
                    if resource < 2 {
                        -share * fill
                    } else {
                        share * fill
                    },
                ));
                max_use -= if resource < 2 { share * fill } else { 0.0 };
            }
        }
        price_rows.insert(*limit, program.limit(row, max_use));
    }
    for share in mixed_shares.iter().flatten() {
        program.limit(vec![(*share, 1.0)], 1.0);
    }
    let values = program.solve().map_err(PlanError::Solver)?;
    let prices = program.dual().solve().map_err(PlanError::Solver)?;
    let value = |program: &Program, values: &[f64]| -> f64 {
        program
            .objective
            .iter()
            .zip(values)
            .map(|(worth, v)| worth * v)
            .sum()
    };
    // The dual solution proves that the plan is optimal: no other is worth more than its prices say.
    let (primal_worth, dual_worth) = (value(&program, &values), -value(&program.dual(), &prices));
    if (primal_worth - dual_worth).abs() > 1e-4 * primal_worth.abs().max(1.0) {
        return Err(PlanError::Solver(format!(
            "the worth of the solution, {primal_worth}, differs from that of its dual, {dual_worth}"
        )));
    }

    let share_value = |variable: usize| round(values[variable].clamp(0.0, 1.0));
    let kept_share = |cut: f64, total: f64| {
        if total > 0.0 {
            round((1.0 - cut / total).clamp(0.0, 1.0))
        } else {
            1.0
        }
    };
    // The share of the class's level that each entry keeps, beyond guarantees and of them.
    let kept_shares = |class: usize, entry: usize| -> [f64; 2] {
        let Some(cuts) = local_cuts[class][entry] else {
            return [1.0; 2];
        };
        let local_rest: f64 = (0..tenants)
            .map(|tenant| offered[class][tenant][entry] * (1.0 - guaranteed[tenant]))
            .sum();
        let local_guaranteed: f64 = (0..tenants)
            .map(|tenant| offered[class][tenant][entry] * guaranteed[tenant])
            .sum();
        [
            kept_share(
                values[cuts[0]],
                local_rest * share_value(unguaranteed_shares[class]),
            ),
            kept_share(
                values[cuts[1]],
                local_guaranteed * share_value(guaranteed_shares[class]),
            ),
        ]
    };
    let mut levels = vec![vec![vec![0.0; sites]; tenants]; classes];
    let mut guaranteed_levels = levels.clone();
    for class in 0..classes {
        for entry in 0..sites {
            let [kept_unguaranteed, kept_guaranteed] = kept_shares(class, entry);
            for tenant in 0..tenants {
                let guaranteed_level =
                    share_value(guaranteed_shares[class]) * guaranteed[tenant] * kept_guaranteed;
                guaranteed_levels[class][tenant][entry] = guaranteed_level;
                let unguaranteed_level = if unguaranteed_rate(class) > 0.0 {
                    share_value(unguaranteed_shares[class])
                } else {
                    1.0
                };
                levels[class][tenant][entry] = round(
                    guaranteed_level
                        + unguaranteed_level * kept_unguaranteed * (1.0 - guaranteed[tenant]),
                );
            }
        }
    }
    let rates = vec![0.0; classes * sites * sites * sites];
    let mut allocation = Allocation {
        sites,
        levels,
        guaranteed_levels,
        rates,
        used: Vec::new(),
    };
    for ([class, entry, prefill_site, decode_site], variable, _) in &routes {
        let index = allocation.rate_index(*class, *entry, *prefill_site, *decode_site);
        allocation.rates[index] = if values[*variable] > EPSILON * 1e-3 {
            values[*variable]
        } else {
            0.0
        };
    }
    // The solver may give routes more than is admitted: rates are cut down to the admitted requests.
    for class in 0..classes {
        for entry in 0..sites {
            let admitted: f64 = (0..tenants)
                .map(|tenant| {
                    offered[class][tenant][entry] * allocation.levels[class][tenant][entry]
                })
                .sum();
            let routed = allocation.admitted_rate(class, entry);
            if admitted > routed * (1.0 + 10.0 * EPSILON) + 10.0 * EPSILON {
                return Err(PlanError::LimitExceeded(format!(
                    "{} at {}: {admitted:.6} requests per second are admitted, but the routes carry {routed:.6}",
                    fleet.tables.classes[class].name,
                    fleet.site_name(entry)
                )));
            }
            let start = allocation.rate_index(class, entry, 0, 0);
            let cut = if routed > admitted {
                admitted / routed
            } else {
                1.0
            };
            allocation.rates[start..start + sites * sites]
                .iter_mut()
                .for_each(|rate| *rate *= cut);
        }
    }
    allocation.used = usage.by_entry(&allocation);
    let used = worst_case_usage(&[&allocation]);
    if let Some((limit, excess)) = available.worst_excess(&used, fill) {
        return Err(PlanError::LimitExceeded(format!(
            "{} by {:.4} of its capacity",
            limit.name(fleet),
            excess
        )));
    }
    let loads: Vec<Load> = (limits.iter())
        .map(|limit| Load {
            limit: *limit,
            available: available.total(*limit),
            used: used.get(limit).copied().unwrap_or(0.0),
            price: prices[price_rows[limit]],
        })
        .collect();
    // Price of the use of scarce limits by one request of a class, averaged over entries by their arriving requests.
    let cost = |class: usize, arriving: &dyn Fn(usize) -> f64| {
        let total: f64 = (0..sites).map(arriving).sum();
        let priced = |entry: usize| {
            balance_rows[class][entry].map_or(0.0, |row| prices[row]) * arriving(entry)
        };
        if total > 0.0 {
            (0..sites).map(priced).sum::<f64>() / total
        } else {
            0.0
        }
    };
    // Where nothing is scarce, the fullest stage counts instead, since it would become scarce next.
    let fullest = loads
        .iter()
        .max_by(|a, b| a.utilization().total_cmp(&b.utilization()));
    let share_of_fullest = |class: usize| -> f64 {
        let is_fullest = |limit: Limit| fullest.is_some_and(|f| same_resource(f.limit, limit));
        let amounts = (0..sites).map(|s| {
            usage
                .per_request(class, s, s, s)
                .into_iter()
                .find(|(l, _)| is_fullest(*l))
        });
        amounts
            .flatten()
            .map(|(limit, amount)| amount / available.total(limit).max(1.0))
            .fold(0.0, f64::max)
    };
    let scarce = prices
        .iter()
        .zip(&program.rows)
        .any(|(p, (_, limit))| *p > EPSILON && *limit == fill);
    let worth_to_cost = |class: usize, cost: f64| {
        let worth = fleet.worth[class];
        if scarce {
            worth / cost.max(1e-9)
        } else {
            2.0 + worth / share_of_fullest(class).max(1e-9)
        }
    };
    let mut refusal_order = Vec::new();
    let mut shortfalls = Vec::new();
    for class in 0..classes {
        let arriving = |entry: usize| {
            (0..tenants)
                .map(|tenant| offered[class][tenant][entry] * (1.0 - guaranteed[tenant]))
                .sum::<f64>()
        };
        let refused_rate = |tenant: usize, level: &dyn Fn(usize) -> f64, full_level: f64| -> f64 {
            let refused: f64 = (0..sites)
                .map(|entry| offered[class][tenant][entry] * (full_level - level(entry)))
                .sum();
            if refused < EPSILON { 0.0 } else { refused }
        };
        if unguaranteed_rate(class) > 0.0 {
            let unguaranteed_refused = |tenant: usize| {
                let level = |entry: usize| {
                    allocation.levels[class][tenant][entry]
                        - allocation.guaranteed_levels[class][tenant][entry]
                };
                refused_rate(tenant, &level, 1.0 - guaranteed[tenant])
            };
            let refused = (0..tenants).map(unguaranteed_refused).sum();
            let worth_to_cost = worth_to_cost(class, cost(class, &arriving));
            refusal_order.push(Refusal {
                class,
                guaranteed: false,
                offered: unguaranteed_rate(class),
                refused,
                worth_to_cost,
            });
        }
        let mut guaranteed_refused = 0.0;
        for tenant in 0..tenants {
            let refused = refused_rate(
                tenant,
                &|entry| allocation.guaranteed_levels[class][tenant][entry],
                guaranteed[tenant],
            );
            guaranteed_refused += refused;
            if refused > 0.0 {
                let guaranteed = offered_rate(class, tenant) * guaranteed[tenant];
                shortfalls.push(Shortfall {
                    tenant,
                    class,
                    guaranteed,
                    refused,
                });
            }
        }
        if guaranteed_rate(class) > 0.0 {
            let arriving = |entry: usize| {
                (0..tenants)
                    .map(|tenant| offered[class][tenant][entry] * guaranteed[tenant])
                    .sum::<f64>()
            };
            let worth_to_cost = worth_to_cost(class, cost(class, &arriving));
            refusal_order.push(Refusal {
                class,
                guaranteed: true,
                offered: guaranteed_rate(class),
                refused: guaranteed_refused,
                worth_to_cost,
            });
        }
    }
    refusal_order.sort_by(|a, b| {
        (a.guaranteed.cmp(&b.guaranteed))
            .then(a.worth_to_cost.total_cmp(&b.worth_to_cost))
            .then(fleet.worth[a.class].total_cmp(&fleet.worth[b.class]))
            .then(a.class.cmp(&b.class))
    });
    let total_worth = |level: &dyn Fn(usize, usize, usize) -> f64| -> f64 {
        let class_worth = |class: usize| {
            let pairs =
                (0..tenants).flat_map(|tenant| (0..sites).map(move |entry| (tenant, entry)));
            pairs
                .map(|(tenant, entry)| offered[class][tenant][entry] * level(class, tenant, entry))
                .sum::<f64>()
                * fleet.worth[class]
        };
        (0..classes).map(class_worth).sum()
    };
    let worth_kept = total_worth(&|class, tenant, entry| allocation.levels[class][tenant][entry]);
    let route_cost = routes
        .iter()
        .map(|([class, entry, prefill_site, decode_site], _, price)| {
            price * allocation.rate(*class, *entry, *prefill_site, *decode_site)
        })
        .sum();
    let worth_offered = total_worth(&|_, _, _| 1.0);
    Ok(Plan {
        loss: loss.clone(),
        allocation,
        offered,
        loads,
        refusal_order,
        shortfalls,
        worth_offered,
        worth_kept,
        route_cost,
    })
}

/// The largest value from `low` to `high` that is valid, or `low` if none is. Valid values must lie below invalid
/// ones.
fn largest_valid(low: f64, high: f64, is_valid: impl Fn(f64) -> bool) -> f64 {
    if is_valid(high) {
        return high;
    }
    let (mut low, mut high) = (low, high);
    for _ in 0..16 {
        let middle = (low + high) / 2.0;
        if is_valid(middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}

/// Snaps a share within the solver's rounding error of 0 or 1 to that value.
fn round(share: f64) -> f64 {
    if share > 1.0 - EPSILON {
        1.0
    } else if share < EPSILON {
        0.0
    } else {
        share
    }
}

fn same_resource(a: Limit, b: Limit) -> bool {
    std::mem::discriminant(&a) == std::mem::discriminant(&b)
}

impl Plan {
    /// Shares of a site's clients that connect to each entry under this plan's loss.
    pub fn entry_shares(&self, fleet: &Fleet, site: usize) -> Vec<f64> {
        entry_shares(fleet, &self.loss).swap_remove(site)
    }

    /// The limits that are full and cost worth, the highest price first.
    pub fn binding_limits(&self) -> Vec<&Load> {
        let mut binding: Vec<&Load> = self.loads.iter().filter(|l| l.price > EPSILON).collect();
        binding.sort_by(|a, b| b.price.total_cmp(&a.price));
        binding
    }

    /// The use of one limit; `None` if nothing of it is available under the loss.
    pub fn load(&self, limit: Limit) -> Option<&Load> {
        self.loads.iter().find(|l| l.limit == limit)
    }
}

/// The plans for all losses that are prepared for: no loss, each part of each site, and each pair of sites.
#[derive(Clone, Debug)]
pub struct Plans {
    fleet: Fleet,
    plans: BTreeMap<Loss, Plan>,
    fingerprint: u64,
    /// The allocations that were computed last, by transition, because all routers of a process ask for the same ones.
    allocation_cache: VecDeque<(Vec<Condition>, (Allocation, Allocation))>,
}

impl Plans {
    /// Computes the plans for all prepared losses.
    ///
    /// # Errors
    /// The error of the first loss for which no plan could be computed.
    pub fn new(fleet: Fleet) -> Result<Self, PlanError> {
        let n = fleet.site_count();
        let mut losses = vec![Loss::none(n)];
        for a in 0..n {
            use Missing::{All, HalfHosts, Hosts, Routers};
            losses.extend([Routers, HalfHosts, Hosts, All].map(|m| Loss::none(n).with(a, m)));
            for b in a + 1..n {
                let pairs = [(Hosts, Hosts), (Hosts, All), (All, Hosts), (All, All)];
                losses.extend(pairs.map(|(missing_a, missing_b)| {
                    Loss::none(n).with(a, missing_a).with(b, missing_b)
                }));
            }
        }
        let mut plans = BTreeMap::new();
        for loss in losses {
            let plan = compute_plan(&fleet, &loss)?;
            plans.insert(loss, plan);
        }
        let mut bytes = fleet.fingerprint.to_le_bytes().to_vec();
        for plan in plans.values() {
            let levels = plan.allocation.levels.iter().flatten().flatten();
            for v in plan.allocation.rates.iter().chain(levels) {
                bytes.extend(((v * 1e3).round() as u64).to_le_bytes());
            }
        }
        let fingerprint = xxhash_rust::xxh3::xxh3_64(&bytes);
        Ok(Plans {
            fleet,
            plans,
            fingerprint,
            allocation_cache: VecDeque::new(),
        })
    }

    /// The fleet that the plans are computed for.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Hash of all plans. Routers act together only if their plans are the same.
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint
    }

    /// The plan for a loss if it was prepared; see [`Loss::rounded_up`].
    pub fn get(&self, loss: &Loss) -> Option<&Plan> {
        self.plans.get(&loss.rounded_up())
    }

    /// The plan for a loss, which is computed now if it was not prepared.
    ///
    /// # Errors
    /// As for [`compute_plan`].
    pub fn get_or_compute(&mut self, loss: &Loss) -> Result<&Plan, PlanError> {
        let loss = loss.rounded_up();
        if !self.plans.contains_key(&loss) {
            let plan = compute_plan(&self.fleet, &loss)?;
            self.plans.insert(loss.clone(), plan);
        }
        self.plans.get(&loss).ok_or_else(|| {
            PlanError::Solver("no plan is stored for the loss after it was computed".into())
        })
    }

    /// All plans, ordered by loss: the prepared ones and those that [`Self::get_or_compute`] added.
    pub fn iter(&self) -> impl Iterator<Item = &Plan> {
        self.plans.values()
    }

    /// Upper bound of what routers may admit under the plan for a loss: the plan with its rates raised as far as its
    /// limits allow. `None` if no plan is prepared for the loss.
    pub fn upper_bound(&self, loss: &Loss) -> Option<Allocation> {
        let plan = self.get(loss)?;
        let available = AvailableCapacity::new(&self.fleet, &plan.loss);
        let used = worst_case_usage(&[&plan.allocation]);
        let fits = |factor: f64| {
            let scaled = used.iter().map(|(limit, v)| (*limit, v * factor)).collect();
            available
                .worst_excess(&scaled, self.fleet.tables.fill)
                .is_none()
        };
        Some(
            plan.allocation
                .clone()
                .scaled_by(largest_valid(1.0, MAX_RATE_FACTOR, fits)),
        )
    }

    /// An allocation on the way to another while `loss` is missing, as close to `to` as possible: no limit is exceeded
    /// by any mix of routers at any of `from` and at the result, nor by any mix of routers at the result and at `to`.
    pub fn intermediate(&self, loss: &Loss, from: &[&Allocation], to: &Allocation) -> Allocation {
        let usage = RequestUsage::new(&self.fleet, loss);
        let lower = from.iter().fold(to.clone(), |lower, allocation| {
            allocation.pointwise_min(&lower, &usage)
        });
        let fits = |fraction: f64| {
            let candidate = lower.interpolate(to, fraction);
            let allocations: Vec<&Allocation> = from.iter().copied().chain([&candidate]).collect();
            limit_exceeded_by_mix(&self.fleet, loss, &allocations).is_none()
        };
        let fraction = largest_valid(0.0, 1.0, fits);
        if fraction >= 1.0 {
            return to.clone();
        }
        let mut allocation = lower.interpolate(to, fraction);
        self.lower_levels(loss, &mut allocation);
        allocation
    }

    /// An allocation without the routes over the hosts of a site, used while that site is suspect.
    pub fn avoiding_site(&self, loss: &Loss, allocation: &Allocation, site: usize) -> Allocation {
        let mut allocation = allocation.clone().without_site(site);
        self.lower_levels(loss, &mut allocation);
        allocation
    }

    /// The allocations that [`Plans::cache_allocations`] kept for a transition.
    pub(crate) fn cached_allocations(
        &self,
        transition: &[Condition],
    ) -> Option<(Allocation, Allocation)> {
        self.allocation_cache
            .iter()
            .find(|(cached, _)| cached == transition)
            .map(|(_, allocations)| allocations.clone())
    }

    /// Caches the allocations of a transition, evicting the oldest entry if the cache is full.
    pub(crate) fn cache_allocations(
        &mut self,
        transition: &[Condition],
        allocations: &(Allocation, Allocation),
    ) {
        if self.allocation_cache.len() >= MAX_CACHED_TRANSITIONS {
            self.allocation_cache.pop_front();
        }
        self.allocation_cache
            .push_back((transition.to_vec(), allocations.clone()));
    }

    /// Worth per second of the requests that an allocation admits while `loss` is missing.
    pub fn admitted_worth(&self, loss: &Loss, allocation: &Allocation) -> f64 {
        let offered = offered_load(&self.fleet, loss);
        let mut worth = 0.0;
        for (class, (offered, levels)) in offered.iter().zip(&allocation.levels).enumerate() {
            for (offered, levels) in offered.iter().zip(levels) {
                worth += offered
                    .iter()
                    .zip(levels)
                    .map(|(rate, level)| rate * level)
                    .sum::<f64>()
                    * self.fleet.worth[class];
            }
        }
        worth
    }

    /// Lowers the levels at each entry to what its routes carry. Guaranteed requests are cut last, and no class is cut
    /// more than one that is refused before it.
    fn lower_levels(&self, loss: &Loss, allocation: &mut Allocation) {
        let offered = offered_load(&self.fleet, loss);
        let refusal_order = self
            .get(loss)
            .map(|p| p.refusal_order.as_slice())
            .unwrap_or_default();
        let mut last_refused_first: Vec<usize> = refusal_order
            .iter()
            .rev()
            .filter(|r| !r.guaranteed)
            .map(|r| r.class)
            .collect();
        last_refused_first.extend(
            (0..self.fleet.class_count())
                .filter(|c| !refusal_order.iter().any(|r| !r.guaranteed && r.class == *c)),
        );
        // The shares kept at each entry of guaranteed and of other requests, by the class before.
        let mut kept = vec![(1.0_f64, 1.0_f64); self.fleet.site_count()];
        for class in last_refused_first {
            for entry in 0..self.fleet.site_count() {
                let rate_at = |levels: &Vec<Vec<f64>>| -> f64 {
                    offered[class]
                        .iter()
                        .zip(levels)
                        .map(|(rates, levels)| rates[entry] * levels[entry])
                        .sum()
                };
                let (carried, guaranteed, admitted) = (
                    allocation.admitted_rate(class, entry),
                    rate_at(&allocation.guaranteed_levels[class]),
                    rate_at(&allocation.levels[class]),
                );
                let ratio = |part: f64, total: f64| {
                    if total > 0.0 {
                        (part / total).clamp(0.0, 1.0)
                    } else {
                        1.0
                    }
                };
                let kept_guaranteed = ratio(carried, guaranteed).min(kept[entry].0);
                let kept_rest = ratio((carried - guaranteed).max(0.0), admitted - guaranteed)
                    .min(kept[entry].1);
                kept[entry] = (kept_guaranteed, kept_rest);
                for (level, guaranteed) in allocation.levels[class]
                    .iter_mut()
                    .zip(&mut allocation.guaranteed_levels[class])
                {
                    let rest = (level[entry] - guaranteed[entry]).max(0.0) * kept_rest;
                    guaranteed[entry] *= kept_guaranteed;
                    level[entry] = guaranteed[entry] + rest;
                }
            }
        }
    }
}
