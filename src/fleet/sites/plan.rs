//! Plans: who serves what where while sites are missing, made ahead for each loss by a linear program.
//!
//! A request comes in at a site's conductors (its *entry*), is read at one site and written at one site; if these two
//! differ, its state crosses their link. A [`Allocation`] says how many requests a second of each class go which way and
//! which part of each class and tenant is taken at all. A [`Plan`] is the allocation for one [`Loss`], with its figures.

#![allow(
    clippy::needless_range_loop,
    reason = "sites and classes are numbers that index several tables at once"
)]

use super::describe::Fleet;
use super::epoch::Condition;
use super::lp::Program;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// What a guaranteed request is worth more than any other: it is given up only when no other is left to give up.
const GUARANTEED: f64 = 1_000.0;
/// A site refuses more of a class than the others only where that keeps this much more worth: else all refuse alike.
const LOCAL: f64 = 1.05;
/// Chains of conditions whose allocations are kept.
const MOST_KEPT: usize = 16;
/// More requests than a plan's, as a multiple, that a conductor takes at most where its limits bear them.
const MOST_STRETCH: f64 = 4.0;
/// Less than this of a limit, or of a request a second, is rounding.
pub(crate) const SLIGHT: f64 = 1e-6;

/// What is missing of a site.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Missing {
    /// Nothing.
    #[default]
    Nothing,
    /// Its conductors: its clients come in elsewhere, its hosts serve.
    Routers,
    /// Half of its hosts.
    HalfHosts,
    /// Its hosts: its conductors take its clients in and send them elsewhere.
    Hosts,
    /// Routers and hosts.
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

    /// Whether its clients come in elsewhere.
    pub fn routers_missing(self) -> bool {
        matches!(self, Missing::Routers | Missing::All)
    }

    /// The part of its hosts that serves.
    pub fn remaining_hosts(self) -> f64 {
        match self {
            Missing::Nothing | Missing::Routers => 1.0,
            Missing::HalfHosts => 0.5,
            Missing::Hosts | Missing::All => 0.0,
        }
    }
}

/// What is missing, for each site in the order of the file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Loss(pub Vec<Missing>);

impl Loss {
    /// Nothing is missing.
    pub fn none(sites: usize) -> Self {
        Loss(vec![Missing::Nothing; sites])
    }

    /// These sites are missing whole.
    pub fn of(sites: usize, lost: &[usize]) -> Self {
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

    /// The same with another value for one site.
    pub fn with(&self, site: usize, missing: Missing) -> Self {
        let mut loss = self.clone();
        loss.0[site] = missing;
        loss
    }

    /// The loss that plans are made for: where more than one site is touched, half of the hosts counts as all of them
    /// and the conductors as the whole site.
    pub fn covered(&self) -> Self {
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

/// Something that can be full.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Limit {
    /// Prompt tokens a second of a site's readers.
    PrefillRate(usize),
    /// Tokens that a site's readers keep.
    PrefillMemory(usize),
    /// Answer tokens a second of a site's writers: their slots.
    DecodeRate(usize),
    /// Tokens that a site's writers keep.
    DecodeMemory(usize),
    /// Tokens of state a second from one site to another.
    Link(usize, usize),
}

impl Limit {
    /// Its name for the operators.
    pub fn name(self, fleet: &Fleet) -> String {
        let site = |s: usize| fleet.site_name(s);
        match self {
            Limit::PrefillRate(s) => format!("reading at {}", site(s)),
            Limit::PrefillMemory(s) => format!("readers' memory at {}", site(s)),
            Limit::DecodeRate(s) => format!("writers' slots at {}", site(s)),
            Limit::DecodeMemory(s) => format!("writers' memory at {}", site(s)),
            Limit::Link(a, b) => format!("link {}>{}", site(a), site(b)),
        }
    }
}

/// How much of a limit is used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Which.
    pub limit: Limit,
    /// What there is of it under the loss, hosts that do both included.
    pub of: f64,
    /// What is used.
    pub used: f64,
    /// Worth a second that the whole of it once more would keep, at the margin; 0 where it is not scarce.
    pub price: f64,
}

impl Load {
    /// The part that is used.
    pub fn part(&self) -> f64 {
        if self.of > 0.0 {
            self.used / self.of
        } else {
            0.0
        }
    }
}

/// What all conductors together do: requests a second by class, entry, reading site and writing site.
#[derive(Clone, Debug, PartialEq)]
pub struct Allocation {
    sites: usize,
    /// For each class, tenant and entry the part that is taken: a request whose hash, as a part of 1, is below it.
    pub levels: Vec<Vec<Vec<f64>>>,
    /// The part of it that is guaranteed to the tenant.
    promised: Vec<Vec<Vec<f64>>>,
    rates: Vec<f64>,
    /// For each entry what its requests take of each limit.
    used: Vec<BTreeMap<Limit, f64>>,
}

impl Allocation {
    fn at(&self, class: usize, entry: usize, reader: usize, writer: usize) -> usize {
        ((class * self.sites + entry) * self.sites + reader) * self.sites + writer
    }

    /// Requests a second of a class from an entry that are read and written at these sites.
    pub fn rate(&self, class: usize, entry: usize, reader: usize, writer: usize) -> f64 {
        self.rates[self.at(class, entry, reader, writer)]
    }

    /// Requests a second of a class that are taken at an entry.
    pub fn taken(&self, class: usize, entry: usize) -> f64 {
        let from = self.at(class, entry, 0, 0);
        self.rates[from..from + self.sites * self.sites]
            .iter()
            .sum()
    }

    /// Requests a second of a class from an entry that are read at each site.
    pub fn read_at(&self, class: usize, entry: usize, reader: usize) -> f64 {
        let from = self.at(class, entry, reader, 0);
        self.rates[from..from + self.sites].iter().sum()
    }

    /// Requests a second of a class from an entry that are written at each site.
    pub fn written_at(&self, class: usize, entry: usize, writer: usize) -> f64 {
        (0..self.sites)
            .map(|reader| self.rate(class, entry, reader, writer))
            .sum()
    }

    /// Every way in use with its rate: class, entry, reading site, writing site, requests a second.
    pub fn ways(&self) -> impl Iterator<Item = ([usize; 4], f64)> + '_ {
        let n = self.sites;
        self.rates
            .iter()
            .enumerate()
            .filter(|(_, rate)| **rate > 0.0)
            .map(move |(i, rate)| ([i / (n * n * n), i / (n * n) % n, i / n % n, i % n], *rate))
    }

    /// Part `part` of the way from this allocation to another: every limit that both keep is kept.
    pub fn toward(&self, other: &Allocation, part: f64) -> Allocation {
        let mix = |a: &f64, b: &f64| if part >= 1.0 { *b } else { a + (b - a) * part };
        let all = |a: &[f64], b: &[f64]| -> Vec<f64> {
            a.iter().zip(b).map(|(a, b)| mix(a, b)).collect()
        };
        let row =
            |a: &[Vec<f64>], b: &[Vec<f64>]| a.iter().zip(b).map(|(a, b)| all(a, b)).collect();
        let each = |a: &[Vec<Vec<f64>>], b: &[Vec<Vec<f64>>]| {
            a.iter().zip(b).map(|(a, b)| row(a, b)).collect()
        };
        Allocation {
            sites: self.sites,
            levels: each(&self.levels, &other.levels),
            promised: each(&self.promised, &other.promised),
            rates: all(&self.rates, &other.rates),
            used: (self.used.iter().zip(&other.used))
                .map(|(a, b)| {
                    let value =
                        |of: &BTreeMap<Limit, f64>, l: &Limit| of.get(l).copied().unwrap_or(0.0);
                    let limits = a.keys().chain(b.keys());
                    limits
                        .map(|l| (*l, mix(&value(a, l), &value(b, l))))
                        .collect()
                })
                .collect(),
        }
    }

    /// The smaller of both on every way: whoever acts by it harms neither.
    fn meet(&self, other: &Allocation, usage: &Usage) -> Allocation {
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
        allocation.used = usage.of(&allocation);
        // What goes as it went before finds what it found before.
        for (now, before) in allocation.used.iter_mut().zip(&self.used) {
            for (limit, used) in now {
                *used = used.min(before.get(limit).copied().unwrap_or(0.0));
            }
        }
        allocation
    }

    /// The same with so many times the requests; what is refused by its hash stays refused.
    fn stretched(mut self, by: f64) -> Allocation {
        self.rates.iter_mut().for_each(|rate| *rate *= by);
        self.used
            .iter_mut()
            .flat_map(|of| of.values_mut())
            .for_each(|used| *used *= by);
        self
    }

    /// The same without the ways over a site's hosts.
    fn without(mut self, site: usize) -> Allocation {
        for i in 0..self.rates.len() {
            let (reader, writer) = (i / self.sites % self.sites, i % self.sites);
            if reader == site || writer == site {
                self.rates[i] = 0.0;
            }
        }
        // What is used elsewhere by these ways only falls; it is counted on, which keeps every limit.
        self
    }

    /// What is used of a limit in all.
    pub fn used(&self, limit: Limit) -> f64 {
        self.used.iter().filter_map(|of| of.get(&limit)).sum()
    }
}

/// Requests that a plan refuses, in the order of refusal.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// The class.
    pub class: usize,
    /// Whether these are the ones guaranteed to tenants; else those beyond.
    pub guaranteed: bool,
    /// Requests a second that are asked.
    pub asked: f64,
    /// Requests a second of them that are refused.
    pub refused: f64,
    /// Worth of a request over the price of what it takes of all that is scarce: below 1 it is refused, above taken.
    pub ratio: f64,
}

/// A tenant's guaranteed share that the survivors can't bear.
#[derive(Clone, Debug, PartialEq)]
pub struct Shortfall {
    /// The tenant.
    pub tenant: usize,
    /// The class.
    pub class: usize,
    /// Requests a second that are guaranteed.
    pub guaranteed: f64,
    /// Requests a second of them that are refused.
    pub short: f64,
}

/// Why there is no plan.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum PlanError {
    /// The solver gave up, with its words.
    #[error("no plan could be solved: {0}")]
    Solver(String),
    /// What the solver gave back breaks a limit: name and part over.
    #[error("the solved plan breaks a limit: {0}")]
    Broken(String),
}

/// What is done while something is missing.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// What is missing.
    pub loss: Loss,
    /// What all conductors together do.
    pub allocation: Allocation,
    /// Requests a second by class, tenant and entry that come in.
    pub asked: Vec<Vec<Vec<f64>>>,
    /// What is used of each limit.
    pub loads: Vec<Load>,
    /// What is refused first conditions first; all that could be refused is listed.
    pub order: Vec<Refusal>,
    /// Guaranteed shares that can't be borne.
    pub shortfalls: Vec<Shortfall>,
    /// Worth a second that is asked for.
    pub worth_asked: f64,
    /// Worth a second that is taken.
    pub worth_kept: f64,
    /// Worth a second that the crossings cost.
    pub crossings: f64,
}

/// What one request of a class takes on its way.
struct Usage<'a> {
    fleet: &'a Fleet,
    /// For each class and entry the part of the prompt that is kept, those of moved clients counted in.
    kept: Vec<Vec<f64>>,
}

impl<'a> Usage<'a> {
    fn new(fleet: &'a Fleet, loss: &Loss) -> Self {
        let falls = falls(fleet, loss);
        let kept = |c: usize, entry: usize| {
            let class = &fleet.tables.classes[c];
            let moved_kept = class.kept_moved.unwrap_or(class.kept / 2.0);
            let (mut all, mut moved) = (0.0, 0.0);
            for (site, missing) in loss.0.iter().enumerate() {
                let asked: f64 = fleet.demand[c].iter().map(|by_site| by_site[site]).sum();
                all += asked * falls[site][entry];
                // Those whose hosts are gone lose what these had kept, wherever they come in.
                moved += asked * falls[site][entry] * (1.0 - missing.remaining_hosts());
            }
            let part = if all > 0.0 { moved / all } else { 0.0 };
            class.kept * (1.0 - part) + moved_kept * part
        };
        let kept = (0..fleet.class_count())
            .map(|c| (0..fleet.site_count()).map(|e| kept(c, e)).collect())
            .collect();
        Usage { fleet, kept }
    }

    /// What a allocation takes of each limit for each entry.
    fn of(&self, allocation: &Allocation) -> Vec<BTreeMap<Limit, f64>> {
        let mut by_entry = vec![BTreeMap::new(); allocation.sites];
        for ([class, entry, reader, writer], rate) in allocation.ways() {
            for (limit, takes) in self.takes(class, entry, reader, writer) {
                *by_entry[entry].entry(limit).or_insert(0.0) += takes * rate;
            }
        }
        by_entry
    }

    /// What a request of the class from the entry takes of each limit, read and written at these sites.
    fn takes(&self, class: usize, entry: usize, reader: usize, writer: usize) -> Vec<(Limit, f64)> {
        let c = &self.fleet.tables.classes[class];
        let (reads, writes) = (&self.fleet.capacity[reader], &self.fleet.capacity[writer]);
        let unread = c.prompt_tokens * (1.0 - self.kept[class][entry]);
        let link = self.fleet.links[reader][writer].filter(|_| reader != writer);
        let crossing = link.map_or(0.0, |(rate, delay)| {
            c.prompt_tokens / rate.max(1e-9) + delay / 1e3
        });
        let held = unread * reads.prefill_slot_s_per_token + crossing + self.fleet.tables.hold_s;
        let streams = c.answer_tokens * writes.stream_s_per_token;
        let mut takes = vec![
            (Limit::PrefillRate(reader), unread),
            (Limit::PrefillMemory(reader), c.prompt_tokens * held),
            (Limit::DecodeRate(writer), c.answer_tokens),
            (
                Limit::DecodeMemory(writer),
                (c.prompt_tokens + c.answer_tokens / 2.0) * streams,
            ),
        ];
        if link.is_some() {
            takes.push((Limit::Link(reader, writer), c.prompt_tokens));
        }
        takes
    }

    /// What the way costs in worth; `None` where a link is missing.
    fn price(&self, class: usize, entry: usize, reader: usize, writer: usize) -> Option<f64> {
        let delay = |a: usize, b: usize| {
            if a == b {
                Some(0.0)
            } else {
                self.fleet.links[a][b].map(|(_, delay)| delay)
            }
        };
        let ms = delay(entry, reader)? + delay(reader, writer)? + delay(writer, entry)?;
        let state = if reader == writer {
            0.0
        } else {
            self.fleet.tables.classes[class].prompt_tokens / 1e3
        };
        Some(ms * self.fleet.tables.price_per_ms + state * self.fleet.tables.price_per_1000_tokens)
    }
}

/// What there is of each limit under a loss: for each site hosts of one stage and hosts of both.
struct Room {
    sites: usize,
    own: Vec<[f64; 4]>,
    mixed: Vec<[f64; 4]>,
    links: Vec<Vec<f64>>,
}

impl Room {
    fn new(fleet: &Fleet, loss: &Loss) -> Self {
        let own = |s: usize| {
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
        Room {
            sites: n,
            own: (0..n).map(own).collect(),
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

    fn place(limit: Limit) -> Option<(usize, usize)> {
        match limit {
            Limit::PrefillRate(s) => Some((s, 0)),
            Limit::PrefillMemory(s) => Some((s, 1)),
            Limit::DecodeRate(s) => Some((s, 2)),
            Limit::DecodeMemory(s) => Some((s, 3)),
            Limit::Link(..) => None,
        }
    }

    fn of(&self, limit: Limit) -> f64 {
        match (limit, Self::place(limit)) {
            (_, Some((s, k))) => self.own[s][k] + self.mixed[s][k],
            (Limit::Link(a, b), _) => self.links[a][b],
            _ => 0.0,
        }
    }

    fn limits(&self) -> Vec<Limit> {
        let n = self.sites;
        let of_site = |s| {
            [
                Limit::PrefillRate(s),
                Limit::PrefillMemory(s),
                Limit::DecodeRate(s),
                Limit::DecodeMemory(s),
            ]
        };
        let links = (0..n).flat_map(|a| (0..n).map(move |b| Limit::Link(a, b)));
        let all = (0..n).flat_map(of_site).chain(links);
        all.filter(|l| self.of(*l) > 0.0).collect()
    }

    /// The part by which loads go over what there is, each limit filled up to `fill` at most: name and part.
    fn over(&self, used: &BTreeMap<Limit, f64>, fill: f64) -> Option<(Limit, f64)> {
        let mut worst: Option<(Limit, f64)> = None;
        let mut note = |limit: Limit, over: f64| {
            if over > SLIGHT && worst.is_none_or(|(_, w)| over > w) {
                worst = Some((limit, over));
            }
        };
        for (limit, used) in used {
            let of = self.of(*limit);
            if *used > 0.0 {
                note(
                    *limit,
                    if of > 0.0 {
                        used / of - fill
                    } else {
                        f64::INFINITY
                    },
                );
            }
        }
        // Hosts of both stages read for a part of the time and write for the rest.
        for s in 0..self.sites {
            let part = |limit: Limit, k: usize| {
                let beyond = used.get(&limit).copied().unwrap_or(0.0) - self.own[s][k] * fill;
                if self.mixed[s][k] > 0.0 {
                    (beyond / self.mixed[s][k]).max(0.0)
                } else {
                    0.0
                }
            };
            let reading = part(Limit::PrefillRate(s), 0).max(part(Limit::PrefillMemory(s), 1));
            let writing = part(Limit::DecodeRate(s), 2).max(part(Limit::DecodeMemory(s), 3));
            note(Limit::DecodeRate(s), reading + writing - fill);
        }
        worst
    }
}

/// The most that is used of each limit when every conductor acts by any one of the allocations.
fn worst_mix(allocations: &[&Allocation]) -> BTreeMap<Limit, f64> {
    let mut sum = BTreeMap::new();
    for entry in 0..allocations.first().map_or(0, |c| c.sites) {
        let mut most: BTreeMap<Limit, f64> = BTreeMap::new();
        for (limit, v) in allocations.iter().flat_map(|c| &c.used[entry]) {
            let slot = most.entry(*limit).or_insert(0.0);
            *slot = slot.max(*v);
        }
        for (limit, v) in most {
            *sum.entry(limit).or_insert(0.0) += v;
        }
    }
    sum
}

/// The limit that some mix of conductors, each acting by any one of the allocations, would break the most while `loss` is
/// what is missing, and by which part of it. `None`: no mix breaks any. Sites of which hosts are missing don't count:
/// who has not heard of it yet sends there as before.
pub fn broken_by_mix(
    fleet: &Fleet,
    loss: &Loss,
    allocations: &[&Allocation],
) -> Option<(Limit, f64)> {
    let room = Room::new(fleet, loss);
    let whole =
        |limit: Limit| Room::place(limit).is_none_or(|(s, _)| loss.0[s].remaining_hosts() >= 1.0);
    let there = worst_mix(allocations)
        .into_iter()
        .filter(|(limit, _)| whole(*limit))
        .collect();
    room.over(&there, fleet.tables.fill)
}

/// For each site the parts of its clients that come in at each entry under a loss.
fn falls(fleet: &Fleet, loss: &Loss) -> Vec<Vec<f64>> {
    let n = fleet.site_count();
    let open: Vec<usize> = (0..n).filter(|s| !loss.0[*s].routers_missing()).collect();
    let falls = |site: usize| -> Vec<f64> {
        let mut to = vec![0.0; n];
        if open.contains(&site) {
            to[site] = 1.0;
            return to;
        }
        let named = &fleet.tables.site[site].falls_to;
        for s in &open {
            to[*s] = named.get(fleet.site_name(*s)).copied().unwrap_or(0.0);
        }
        if to.iter().sum::<f64>() <= 0.0 {
            open.iter().for_each(|s| to[*s] = 1.0);
        }
        let sum: f64 = to.iter().sum();
        if sum > 0.0 {
            to.iter().map(|v| v / sum).collect()
        } else {
            to
        }
    };
    (0..n).map(falls).collect()
}

/// Where the clients come in under a loss: requests a second by class, tenant and entry.
fn asked(fleet: &Fleet, loss: &Loss) -> Vec<Vec<Vec<f64>>> {
    let falls = falls(fleet, loss);
    let enter = |by_site: &Vec<f64>| -> Vec<f64> {
        let at = |e: usize| by_site.iter().zip(&falls).map(|(v, to)| v * to[e]).sum();
        (0..fleet.site_count()).map(at).collect()
    };
    fleet
        .demand
        .iter()
        .map(|tenants| tenants.iter().map(enter).collect())
        .collect()
}

/// Makes the plan for a loss.
///
/// # Errors
/// [`PlanError::Solver`] if the linear program can't be solved, [`PlanError::Broken`] if what came back breaks a limit.
pub fn make(fleet: &Fleet, loss: &Loss) -> Result<Plan, PlanError> {
    let (n, classes, tenants) = (fleet.site_count(), fleet.class_count(), fleet.tenants.len());
    let fill = fleet.tables.fill;
    let (usage, room, asked) = (
        Usage::new(fleet, loss),
        Room::new(fleet, loss),
        asked(fleet, loss),
    );
    let total = |c: usize, t: usize| asked[c][t].iter().sum::<f64>();
    // The guaranteed part of each tenant's requests, the same for all its classes.
    let guaranteed: Vec<f64> = (0..tenants)
        .map(|t| {
            let all: f64 = (0..classes).map(|c| total(c, t)).sum();
            if all > 0.0 {
                (fleet.guaranteed[t] / all).min(1.0)
            } else {
                0.0
            }
        })
        .collect();
    let most_worth = fleet.worth.iter().copied().fold(1.0, f64::max);
    let mut program = Program::default();
    // The part taken of each class beyond guarantees, the same for all tenants, and of what each is guaranteed.
    let rest = |c: usize| {
        (0..tenants)
            .map(|t| total(c, t) * (1.0 - guaranteed[t]))
            .sum::<f64>()
    };
    let open: Vec<usize> = (0..classes)
        .map(|c| program.variable(fleet.worth[c] * rest(c)))
        .collect();
    let promise = |c: usize| {
        (0..tenants)
            .map(|t| total(c, t) * guaranteed[t])
            .sum::<f64>()
    };
    let promised: Vec<usize> = (0..classes)
        .map(|c| program.variable((most_worth * GUARANTEED + fleet.worth[c]) * promise(c)))
        .collect();
    let both = (0..n).map(|s| (room.mixed[s][0] > 0.0).then(|| program.variable(0.0)));
    let both: Vec<Option<usize>> = both.collect();
    let mut ways = Vec::new();
    for c in 0..classes {
        for e in (0..n).filter(|e| !loss.0[*e].routers_missing()) {
            for r in (0..n).filter(|r| room.of(Limit::PrefillRate(*r)) > 0.0) {
                for w in (0..n).filter(|w| room.of(Limit::DecodeRate(*w)) > 0.0) {
                    if let Some(price) = usage.price(c, e, r, w) {
                        ways.push(([c, e, r, w], program.variable(-price), price));
                    }
                }
            }
        }
    }
    // What is taken at an entry goes some way, or is refused there though the class's level would take it.
    let mut balance = vec![vec![None; n]; classes];
    let mut local = vec![vec![None; n]; classes];
    for c in 0..classes {
        for e in 0..n {
            let coming: f64 = (0..tenants).map(|t| asked[c][t][e]).sum();
            if coming <= 0.0 {
                continue;
            }
            let rest: f64 = (0..tenants)
                .map(|t| asked[c][t][e] * (1.0 - guaranteed[t]))
                .sum();
            let promise: f64 = (0..tenants).map(|t| asked[c][t][e] * guaranteed[t]).sum();
            let cut = [
                program.variable(-fleet.worth[c] * LOCAL),
                program.variable(-(most_worth * GUARANTEED + fleet.worth[c]) * LOCAL),
            ];
            local[c][e] = Some(cut);
            program.limit(vec![(cut[0], 1.0), (open[c], -rest)], 0.0);
            program.limit(vec![(cut[1], 1.0), (promised[c], -promise)], 0.0);
            let mut terms = vec![
                (open[c], rest),
                (promised[c], promise),
                (cut[0], -1.0),
                (cut[1], -1.0),
            ];
            terms.extend(
                ways.iter()
                    .filter(|(w, ..)| w[0] == c && w[1] == e)
                    .map(|(_, v, _)| (*v, -1.0)),
            );
            balance[c][e] = Some(program.limit(terms, 0.0));
        }
    }
    for v in open.iter().chain(&promised).copied() {
        program.limit(vec![(v, 1.0)], 1.0);
    }
    let limits = room.limits();
    let mut terms: BTreeMap<Limit, Vec<(usize, f64)>> = BTreeMap::new();
    for ([c, e, r, w], v, _) in &ways {
        for (limit, takes) in usage.takes(*c, *e, *r, *w) {
            terms
                .entry(limit)
                .or_default()
                .push((*v, takes / room.of(limit).max(1e-12)));
        }
    }
    let mut price_rows = BTreeMap::new();
    for limit in &limits {
        let mut row = terms.remove(limit).unwrap_or_default();
        let mut most = fill;
        if let Some((s, k)) = Room::place(*limit) {
            let share = room.mixed[s][k] / room.of(*limit);
            if let Some(m) = both[s].filter(|_| share > 0.0) {
                // `m` is the part of their time for which hosts of both stages read.
                row.push((m, if k < 2 { -share * fill } else { share * fill }));
                most -= if k < 2 { share * fill } else { 0.0 };
            }
        }
        price_rows.insert(*limit, program.limit(row, most));
    }
    for m in both.iter().flatten() {
        program.limit(vec![(*m, 1.0)], 1.0);
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
    // The prices prove the plan: no other is worth more than they say.
    let (kept, proof) = (value(&program, &values), -value(&program.dual(), &prices));
    if (kept - proof).abs() > 1e-4 * kept.abs().max(1.0) {
        return Err(PlanError::Solver(format!(
            "worth {kept} and its proof {proof} differ"
        )));
    }

    let part = |v: usize| round(values[v].clamp(0.0, 1.0));
    let share = |cut: f64, of: f64| {
        if of > 0.0 {
            round((1.0 - cut / of).clamp(0.0, 1.0))
        } else {
            1.0
        }
    };
    // What each entry keeps of the class's level, beyond guarantees and of them.
    let keeps = |c: usize, e: usize| -> [f64; 2] {
        let Some(cut) = local[c][e] else {
            return [1.0; 2];
        };
        let rest: f64 = (0..tenants)
            .map(|t| asked[c][t][e] * (1.0 - guaranteed[t]))
            .sum();
        let promise: f64 = (0..tenants).map(|t| asked[c][t][e] * guaranteed[t]).sum();
        [
            share(values[cut[0]], rest * part(open[c])),
            share(values[cut[1]], promise * part(promised[c])),
        ]
    };
    let mut levels = vec![vec![vec![0.0; n]; tenants]; classes];
    let mut of_promise = levels.clone();
    for c in 0..classes {
        for e in 0..n {
            let [of_rest, of_promised] = keeps(c, e);
            for t in 0..tenants {
                let promise = part(promised[c]) * guaranteed[t] * of_promised;
                of_promise[c][t][e] = promise;
                let rest = if rest(c) > 0.0 { part(open[c]) } else { 1.0 };
                levels[c][t][e] = round(promise + rest * of_rest * (1.0 - guaranteed[t]));
            }
        }
    }
    let rates = vec![0.0; classes * n * n * n];
    let mut allocation = Allocation {
        sites: n,
        levels,
        promised: of_promise,
        rates,
        used: Vec::new(),
    };
    for ([c, e, r, w], v, _) in &ways {
        let at = allocation.at(*c, *e, *r, *w);
        allocation.rates[at] = if values[*v] > SLIGHT * 1e-3 {
            values[*v]
        } else {
            0.0
        };
    }
    // The solver may leave more way than is taken: every way is cut to what comes.
    for c in 0..classes {
        for e in 0..n {
            let comes: f64 = (0..tenants)
                .map(|t| asked[c][t][e] * allocation.levels[c][t][e])
                .sum();
            let goes = allocation.taken(c, e);
            if comes > goes * (1.0 + 10.0 * SLIGHT) + 10.0 * SLIGHT {
                return Err(PlanError::Broken(format!(
                    "{} at {}: {comes:.6} a second are taken and {goes:.6} have a way",
                    fleet.tables.classes[c].name,
                    fleet.site_name(e)
                )));
            }
            let from = allocation.at(c, e, 0, 0);
            let cut = if goes > comes { comes / goes } else { 1.0 };
            allocation.rates[from..from + n * n]
                .iter_mut()
                .for_each(|rate| *rate *= cut);
        }
    }
    allocation.used = usage.of(&allocation);
    let sum = worst_mix(&[&allocation]);
    if let Some((limit, over)) = room.over(&sum, fill) {
        return Err(PlanError::Broken(format!(
            "{} by {:.4} of it",
            limit.name(fleet),
            over
        )));
    }
    let loads: Vec<Load> = (limits.iter())
        .map(|limit| Load {
            limit: *limit,
            of: room.of(*limit),
            used: sum.get(limit).copied().unwrap_or(0.0),
            price: prices[price_rows[limit]],
        })
        .collect();
    // What one request of a class, coming in as these do, takes of all that is scarce, in worth.
    let cost = |c: usize, coming: &dyn Fn(usize) -> f64| {
        let all: f64 = (0..n).map(coming).sum();
        let priced = |e: usize| balance[c][e].map_or(0.0, |row| prices[row]) * coming(e);
        if all > 0.0 {
            (0..n).map(priced).sum::<f64>() / all
        } else {
            0.0
        }
    };
    // Where nothing is scarce the fullest stage conditions in: the next thing to be scarce.
    let fullest = loads.iter().max_by(|a, b| a.part().total_cmp(&b.part()));
    let next = |c: usize| -> f64 {
        let of_stage = |limit: Limit| fullest.is_some_and(|f| same_stage(f.limit, limit));
        let takes = (0..n).map(|s| {
            usage
                .takes(c, s, s, s)
                .into_iter()
                .find(|(l, _)| of_stage(*l))
        });
        takes
            .flatten()
            .map(|(limit, takes)| takes / room.of(limit).max(1.0))
            .fold(0.0, f64::max)
    };
    let scarce = prices
        .iter()
        .zip(&program.rows)
        .any(|(p, (_, limit))| *p > SLIGHT && *limit == fill);
    let ratio = |c: usize, cost: f64| {
        let worth = fleet.worth[c];
        if scarce {
            worth / cost.max(1e-9)
        } else {
            2.0 + worth / next(c).max(1e-9)
        }
    };
    let mut order = Vec::new();
    let mut shortfalls = Vec::new();
    for c in 0..classes {
        let coming = |e: usize| {
            (0..tenants)
                .map(|t| asked[c][t][e] * (1.0 - guaranteed[t]))
                .sum::<f64>()
        };
        let refused = |t: usize, taken: &dyn Fn(usize) -> f64, part: f64| -> f64 {
            let refused: f64 = (0..n).map(|e| asked[c][t][e] * (part - taken(e))).sum();
            if refused < SLIGHT { 0.0 } else { refused }
        };
        if rest(c) > 0.0 {
            let rest_of = |t: usize| {
                let taken = |e: usize| allocation.levels[c][t][e] - allocation.promised[c][t][e];
                refused(t, &taken, 1.0 - guaranteed[t])
            };
            let refused = (0..tenants).map(rest_of).sum();
            let ratio = ratio(c, cost(c, &coming));
            order.push(Refusal {
                class: c,
                guaranteed: false,
                asked: rest(c),
                refused,
                ratio,
            });
        }
        let mut all = 0.0;
        for t in 0..tenants {
            let short = refused(t, &|e| allocation.promised[c][t][e], guaranteed[t]);
            all += short;
            if short > 0.0 {
                let guaranteed = total(c, t) * guaranteed[t];
                shortfalls.push(Shortfall {
                    tenant: t,
                    class: c,
                    guaranteed,
                    short,
                });
            }
        }
        if promise(c) > 0.0 {
            let coming = |e: usize| {
                (0..tenants)
                    .map(|t| asked[c][t][e] * guaranteed[t])
                    .sum::<f64>()
            };
            let ratio = ratio(c, cost(c, &coming));
            order.push(Refusal {
                class: c,
                guaranteed: true,
                asked: promise(c),
                refused: all,
                ratio,
            });
        }
    }
    order.sort_by(|a, b| {
        (a.guaranteed.cmp(&b.guaranteed))
            .then(a.ratio.total_cmp(&b.ratio))
            .then(fleet.worth[a.class].total_cmp(&fleet.worth[b.class]))
            .then(a.class.cmp(&b.class))
    });
    let worth = |of: &dyn Fn(usize, usize, usize) -> f64| -> f64 {
        let class = |c: usize| {
            let all = (0..tenants).flat_map(|t| (0..n).map(move |e| (t, e)));
            all.map(|(t, e)| asked[c][t][e] * of(c, t, e)).sum::<f64>() * fleet.worth[c]
        };
        (0..classes).map(class).sum()
    };
    let worth_kept = worth(&|c, t, e| allocation.levels[c][t][e]);
    let crossings = ways
        .iter()
        .map(|([c, e, r, w], _, price)| price * allocation.rate(*c, *e, *r, *w))
        .sum();
    let worth_asked = worth(&|_, _, _| 1.0);
    Ok(Plan {
        loss: loss.clone(),
        allocation,
        asked,
        loads,
        order,
        shortfalls,
        worth_asked,
        worth_kept,
        crossings,
    })
}

/// The largest value from `low` to `high` that fits, `low` if none does; what fits has to lie below what doesn't.
fn widest(low: f64, high: f64, fits: impl Fn(f64) -> bool) -> f64 {
    if fits(high) {
        return high;
    }
    let (mut low, mut high) = (low, high);
    for _ in 0..16 {
        let middle = (low + high) / 2.0;
        if fits(middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}

/// A part of 1 without the solver's rounding.
fn round(part: f64) -> f64 {
    if part > 1.0 - SLIGHT {
        1.0
    } else if part < SLIGHT {
        0.0
    } else {
        part
    }
}

fn same_stage(a: Limit, b: Limit) -> bool {
    std::mem::discriminant(&a) == std::mem::discriminant(&b)
}

impl Plan {
    /// The parts of a missing site's clients that come in at each entry.
    pub fn falls(&self, fleet: &Fleet, site: usize) -> Vec<f64> {
        falls(fleet, &self.loss).swap_remove(site)
    }

    /// The limits that are full and hold worth back, dearest first.
    pub fn scarce(&self) -> Vec<&Load> {
        let mut scarce: Vec<&Load> = self.loads.iter().filter(|l| l.price > SLIGHT).collect();
        scarce.sort_by(|a, b| b.price.total_cmp(&a.price));
        scarce
    }

    /// What is used of one limit.
    pub fn load(&self, limit: Limit) -> Option<&Load> {
        self.loads.iter().find(|l| l.limit == limit)
    }
}

/// The plans for all losses that are prepared for: none, each site by each part of it, each pair of sites.
#[derive(Clone, Debug)]
pub struct Plans {
    fleet: Fleet,
    plans: BTreeMap<Loss, Plan>,
    fingerprint: u64,
    /// What was worked out last for chains of conditions: all conductors of a process ask for the same.
    worked_out: VecDeque<(Vec<Condition>, (Allocation, Allocation))>,
}

impl Plans {
    /// Makes all plans.
    ///
    /// # Errors
    /// The first loss for which there is no plan says why.
    pub fn new(fleet: Fleet) -> Result<Self, PlanError> {
        let n = fleet.site_count();
        let mut losses = vec![Loss::none(n)];
        for a in 0..n {
            use Missing::{All, HalfHosts, Hosts, Routers};
            losses.extend([Routers, HalfHosts, Hosts, All].map(|m| Loss::none(n).with(a, m)));
            for b in a + 1..n {
                let pairs = [(Hosts, Hosts), (Hosts, All), (All, Hosts), (All, All)];
                losses.extend(pairs.map(|(of_a, of_b)| Loss::none(n).with(a, of_a).with(b, of_b)));
            }
        }
        let mut plans = BTreeMap::new();
        for loss in losses {
            let plan = make(&fleet, &loss)?;
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
            worked_out: VecDeque::new(),
        })
    }

    /// The fleet that they are made for.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// A hash of all plans: conductors act together only if theirs are the same.
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint
    }

    /// The plan for a loss, if it is prepared; see [`Loss::covered`].
    pub fn get(&self, loss: &Loss) -> Option<&Plan> {
        self.plans.get(&loss.covered())
    }

    /// The plan for a loss, made now if it was not prepared.
    ///
    /// # Errors
    /// As [`make`].
    pub fn get_or_compute(&mut self, loss: &Loss) -> Result<&Plan, PlanError> {
        let loss = loss.covered();
        if !self.plans.contains_key(&loss) {
            let plan = make(&self.fleet, &loss)?;
            self.plans.insert(loss.clone(), plan);
        }
        self.plans
            .get(&loss)
            .ok_or_else(|| PlanError::Solver("no plan".into()))
    }

    /// All plans.
    pub fn iter(&self) -> impl Iterator<Item = &Plan> {
        self.plans.values()
    }

    /// What may be sent at the most under the plan for a loss: the plan, with as many more requests as its limits bear.
    /// `None` if no plan is prepared for it.
    pub fn upper_bound(&self, loss: &Loss) -> Option<Allocation> {
        let plan = self.get(loss)?;
        let room = Room::new(&self.fleet, &plan.loss);
        let used = worst_mix(&[&plan.allocation]);
        let fits = |by: f64| {
            let more = used.iter().map(|(limit, v)| (*limit, v * by)).collect();
            room.over(&more, self.fleet.tables.fill).is_none()
        };
        Some(
            plan.allocation
                .clone()
                .stretched(widest(1.0, MOST_STRETCH, fits)),
        )
    }

    /// The allocation on the way to another while `loss` is missing: with conductors at any of `from` and here in any
    /// mix no limit is broken, nor with conductors here and at `to`. As far toward `to` as that allows.
    pub fn intermediate(&self, loss: &Loss, from: &[&Allocation], to: &Allocation) -> Allocation {
        let usage = Usage::new(&self.fleet, loss);
        let meet = from.iter().fold(to.clone(), |meet, allocation| {
            allocation.meet(&meet, &usage)
        });
        let fits = |part: f64| {
            let here = meet.toward(to, part);
            let allocations: Vec<&Allocation> = from.iter().copied().chain([&here]).collect();
            broken_by_mix(&self.fleet, loss, &allocations).is_none()
        };
        let part = widest(0.0, 1.0, fits);
        if part >= 1.0 {
            return to.clone();
        }
        let mut allocation = meet.toward(to, part);
        self.keep(loss, &mut allocation);
        allocation
    }

    /// A allocation without the ways over the hosts of a site: what is done while that site is doubted.
    pub fn without(&self, loss: &Loss, allocation: &Allocation, site: usize) -> Allocation {
        let mut allocation = allocation.clone().without(site);
        self.keep(loss, &mut allocation);
        allocation
    }

    /// What was kept by [`Plans::keep_courses`] for a chain of conditions.
    pub(crate) fn kept_courses(&self, chain: &[Condition]) -> Option<(Allocation, Allocation)> {
        self.worked_out
            .iter()
            .find(|(of, _)| of == chain)
            .map(|(_, allocations)| allocations.clone())
    }

    /// Keeps what was worked out for a chain of conditions; the oldest goes.
    pub(crate) fn keep_courses(
        &mut self,
        chain: &[Condition],
        allocations: &(Allocation, Allocation),
    ) {
        if self.worked_out.len() >= MOST_KEPT {
            self.worked_out.pop_front();
        }
        self.worked_out
            .push_back((chain.to_vec(), allocations.clone()));
    }

    /// Worth a second that a allocation takes while `loss` is missing.
    pub fn worth(&self, loss: &Loss, allocation: &Allocation) -> f64 {
        let asked = asked(&self.fleet, loss);
        let mut worth = 0.0;
        for (c, (asked, levels)) in asked.iter().zip(&allocation.levels).enumerate() {
            for (asked, levels) in asked.iter().zip(levels) {
                worth +=
                    asked.iter().zip(levels).map(|(a, l)| a * l).sum::<f64>() * self.fleet.worth[c];
            }
        }
        worth
    }

    /// Cuts the levels at each entry to what its ways carry: what is guaranteed last, and no class less than one that
    /// is refused before it.
    fn keep(&self, loss: &Loss, allocation: &mut Allocation) {
        let asked = asked(&self.fleet, loss);
        let order = self
            .get(loss)
            .map(|p| p.order.as_slice())
            .unwrap_or_default();
        let mut last_first: Vec<usize> = order
            .iter()
            .rev()
            .filter(|r| !r.guaranteed)
            .map(|r| r.class)
            .collect();
        last_first.extend(
            (0..self.fleet.class_count())
                .filter(|c| !order.iter().any(|r| !r.guaranteed && r.class == *c)),
        );
        // The parts kept at each entry of what is guaranteed and of the rest, by the class before.
        let mut kept = vec![(1.0_f64, 1.0_f64); self.fleet.site_count()];
        for c in last_first {
            for e in 0..self.fleet.site_count() {
                let sum = |of: &Vec<Vec<f64>>| -> f64 {
                    asked[c].iter().zip(of).map(|(by, p)| by[e] * p[e]).sum()
                };
                let (carries, promised, level) = (
                    allocation.taken(c, e),
                    sum(&allocation.promised[c]),
                    sum(&allocation.levels[c]),
                );
                let part = |of: f64, all: f64| {
                    if all > 0.0 {
                        (of / all).clamp(0.0, 1.0)
                    } else {
                        1.0
                    }
                };
                let of_promised = part(carries, promised).min(kept[e].0);
                let of_rest = part((carries - promised).max(0.0), level - promised).min(kept[e].1);
                kept[e] = (of_promised, of_rest);
                for (level, promised) in allocation.levels[c]
                    .iter_mut()
                    .zip(&mut allocation.promised[c])
                {
                    let rest = (level[e] - promised[e]).max(0.0) * of_rest;
                    promised[e] *= of_promised;
                    level[e] = promised[e] + rest;
                }
            }
        }
    }
}
