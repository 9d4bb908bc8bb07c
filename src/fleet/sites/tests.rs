//! Stories and properties over random fleets.

#![allow(
    clippy::needless_range_loop,
    reason = "sites and classes are numbers that index several tables at once"
)]

use super::describe::{
    Class, Demand, Fleet, Hosts, Link, RampSettings, Site, Tables, Tenant, WatchSettings,
};
use super::epoch::{Command, Effect, SiteState, SiteTable};
use super::member::{self, Member};
use super::plan::*;
use super::ramp::{self, OutcomeCounts, Ramp};
use super::refuse::{Admission, AdmissionGate, RouterAllocation};
use super::watch::{self, Cause, Status, Watch};
use crate::fleet::SiteName;
use crate::routing::types::Status::{Draining, Ready};
use crate::routing::types::{Endpoint, Role, RoutingConfig, WorkerId};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const S: u64 = 1_000_000;

/// A site with hosts of both stages (or hosts that do both), links to some, and classes of which the first two differ
/// in worth only.
fn tables(
    sites: Vec<(u32, u32, bool)>,
    links: Vec<Option<u32>>,
    classes: Vec<(u32, u32, u32)>,
    guaranteed: Vec<u32>,
    demand: Vec<u32>,
) -> Tables {
    let n = sites.len();
    let site = |i: usize| Site {
        name: format!("s{i}"),
        routers: 3,
        falls_to: Default::default(),
    };
    let hosts = |(i, (count, role)): (usize, (u32, &str))| Hosts {
        site: format!("s{i}"),
        kind: role.into(),
        role: Some(role.into()),
        count,
        slots: 10,
        memory_tokens: 60_000.0,
        tokens_per_s: 10_000.0,
        token_ms: 40.0,
        cold_from: Some(0.3),
        cold_s: Some(9.0),
    };
    let rows = sites
        .iter()
        .enumerate()
        .flat_map(|(i, (readers, writers, mixed))| {
            let mixed = if *mixed { 1 } else { 0 };
            [
                (i, (*readers, "read")),
                (i, (*writers, "write")),
                (i, (mixed, "mixed")),
            ]
        });
    let pairs = (0..n).flat_map(|a| (a + 1..n).map(move |b| (a, b)));
    let mut classes: Vec<Class> = (classes.into_iter().enumerate())
        .map(|(c, (prompt, answer, worth))| Class {
            name: format!("c{c}"),
            prompt_tokens: f64::from(prompt),
            kept: 0.6,
            kept_moved: None,
            answer_tokens: f64::from(answer),
            worth: Some(f64::from(worth)),
        })
        .collect();
    let twin = classes[0].worth.map(|w| w + 1.0);
    classes.insert(
        0,
        Class {
            name: "twin".into(),
            worth: twin,
            ..classes[0].clone()
        },
    );
    let tenants: Vec<Tenant> = (guaranteed.iter().enumerate())
        .map(|(t, per_s)| Tenant {
            name: format!("t{t}"),
            guaranteed_per_s: f64::from(*per_s),
        })
        .collect();
    let mut rates = demand.into_iter().cycle();
    let mut rows_of_demand = Vec::new();
    for c in &classes {
        for t in 0..=tenants.len() {
            for s in 0..n {
                let tenant = if t == 0 {
                    String::new()
                } else {
                    format!("t{}", t - 1)
                };
                let per_s = f64::from(rates.next().unwrap_or(1));
                rows_of_demand.push(Demand {
                    class: c.name.clone(),
                    tenant,
                    site: format!("s{s}"),
                    per_s,
                });
            }
        }
    }
    // The twins are asked for alike.
    let half = rows_of_demand.len() / classes.len();
    for i in 0..half {
        rows_of_demand[half + i].per_s = rows_of_demand[i].per_s;
    }
    Tables {
        fill: 0.9,
        hold_s: 0.3,
        price_per_ms: 0.002,
        price_per_1000_tokens: 0.005,
        watch: WatchSettings::default(),
        ramp: RampSettings::default(),
        site: (0..n).map(site).collect(),
        hosts: rows.map(hosts).filter(|h| h.count > 0).collect(),
        links: (pairs.zip(links.into_iter().cycle()))
            .filter_map(|((a, b), rate)| {
                let between = [format!("s{a}"), format!("s{b}")];
                rate.map(|r| Link {
                    between,
                    tokens_per_s: f64::from(r),
                    delay_ms: 1.5,
                })
            })
            .collect(),
        classes,
        tenants,
        demand: rows_of_demand,
    }
}

prop_compose! {
    fn fleets()(
        sites in prop::collection::vec((1..5u32, 1..6u32, any::<bool>()), 2..5),
        links in prop::collection::vec(prop::option::weighted(0.8, 1_000..60_000u32), 1..6),
        classes in prop::collection::vec((500..5_000u32, 40..200u32, 1..5u32), 1..3),
        guaranteed in prop::collection::vec(0..20u32, 0..3),
        demand in prop::collection::vec(0..6u32, 1..24),
    ) -> Fleet {
        Fleet::new(tables(sites, links, classes, guaranteed, demand), &RoutingConfig::default()).unwrap()
    }
}

/// A fleet of three sites, of which two bear the load of three only in part.
fn three() -> Fleet {
    let sites = vec![(4, 6, false), (4, 6, false), (3, 5, false)];
    let tables = tables(
        sites,
        vec![Some(40_000)],
        vec![(2_000, 100, 2)],
        vec![10],
        vec![4, 6, 5],
    );
    Fleet::new(tables, &RoutingConfig::default()).unwrap()
}

fn losses(n: usize) -> Vec<Loss> {
    use Missing::*;
    let one =
        (0..n).flat_map(|s| [Routers, HalfHosts, Hosts, All].map(|m| Loss::none(n).with(s, m)));
    let two = (0..n).flat_map(|a| (a + 1..n).map(move |b| Loss::of(n, &[a, b])));
    one.chain(two).chain([Loss::none(n)]).collect()
}

/// What the allocations of conductors use and what there is, counted here from the tables alone.
fn over(fleet: &Fleet, loss: &Loss, ways: &[([usize; 4], f64)], kept: f64) -> Option<String> {
    let n = fleet.site_count();
    let mut used = vec![[0.0; 4]; n];
    let mut links = vec![vec![0.0; n]; n];
    for ([c, _, r, w], rate) in ways {
        let class = &fleet.tables.classes[*c];
        let unread = class.prompt_tokens * (1.0 - class.kept * kept);
        let ten_slots = 10.0 / 10_000.0; // seconds a token at a reader whose ten slots are taken
        let crossing = if r == w {
            0.0
        } else {
            class.prompt_tokens / fleet.links[*r][*w].unwrap().0 + 0.0015
        };
        used[*r][0] += rate * unread;
        used[*r][1] += rate * class.prompt_tokens * (unread * ten_slots + crossing + 0.3);
        used[*w][2] += rate * class.answer_tokens;
        used[*w][3] +=
            rate * (class.prompt_tokens + class.answer_tokens / 2.0) * class.answer_tokens * 0.04;
        links[*r][*w] += if r == w {
            0.0
        } else {
            rate * class.prompt_tokens
        };
    }
    for (s, used) in used.iter().enumerate() {
        let count = |role: &str| -> f64 {
            let rows = fleet
                .tables
                .hosts
                .iter()
                .filter(|h| h.site == format!("s{s}") && h.kind == role);
            rows.map(|h| f64::from(h.count)).sum::<f64>() * loss.0[s].remaining_hosts() * 0.9
        };
        let (readers, writers, both) = (count("read"), count("write"), count("mixed"));
        // Hosts of both kinds that each stage needs beyond its own.
        let need = |k: usize, own: f64, each: f64| (used[k] / each - own).max(0.0);
        let reading = need(0, readers, 10_000.0).max(need(1, readers, 60_000.0));
        let writing = need(2, writers, 250.0).max(need(3, writers, 60_000.0));
        if reading + writing > both + 1e-4 {
            return Some(format!("site {s}: {reading} and {writing} of {both}"));
        }
    }
    for a in 0..n {
        for b in 0..n {
            if links[a][b] > fleet.links[a][b].map_or(0.0, |l| l.0) * 0.9 * (1.0 + 1e-4) + 1e-6 {
                return Some(format!("link {a}>{b}: {}", links[a][b]));
            }
        }
    }
    None
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 16, rng_seed: RngSeed::Fixed(25), failure_persistence: None, ..ProptestConfig::default() })]

    /// No limit is broken by any plan, nothing goes where hosts or links are missing, what is taken has a way, what
    /// is not taken is listed as refused, and worth more is never refused before worth less of the same cost.
    #[test]
    fn every_plan_keeps_every_limit_and_the_order(fleet in fleets()) {
        let n = fleet.site_count();
        for loss in losses(n) {
            let plan = make(&fleet, &loss).unwrap();
            let ways: Vec<_> = plan.allocation.ways().collect();
            // With more kept than the plan counts on, what it uses can only be less.
            prop_assert_eq!(over(&fleet, &loss, &ways, 1.0), None, "{:?}", loss);
            let (mut taken, mut refused) = (0.0, plan.order.iter().map(|r| r.refused).sum::<f64>());
            for c in 0..fleet.class_count() {
                for e in 0..n {
                    let levels = &plan.allocation.levels[c];
                    let comes: f64 = plan.asked[c].iter().zip(levels).map(|(a, l)| a[e] * l[e]).sum();
                    prop_assert!((comes - plan.allocation.taken(c, e)).abs() < 1e-3 + comes * 1e-4);
                    prop_assert!(!loss.0[e].routers_missing() || comes == 0.0);
                    taken += comes;
                    for (t, level) in levels.iter().enumerate() {
                        let (more, less) = (plan.allocation.levels[0][t][e], plan.allocation.levels[1][t][e]);
                        prop_assert!(more >= less - 1e-6, "{:?}: {more} of the dearer twin, {less}", loss);
                        prop_assert!((0.0..=1.0).contains(&level[e]));
                    }
                }
            }
            let usual: f64 = fleet.demand.iter().flatten().flatten().sum();
            let open = loss.0.iter().any(|m| !m.routers_missing());
            refused += if open { 0.0 } else { usual };
            prop_assert!((taken + refused - usual).abs() < 1e-3 * usual.max(1.0), "{taken} {refused} {usual}");
            for s in &plan.shortfalls {
                let beyond = plan.order.iter().find(|r| r.class == s.class && !r.guaranteed);
                let kept = beyond.map_or(0.0, |r| r.asked - r.refused);
                // Elsewhere the rest may go on where no guaranteed request could be served instead.
                prop_assert!(s.short > 0.0 && (kept < 1e-3 || !plan.scarce().is_empty() || n > 1));
            }
        }
    }

    /// From the usual plan to that of a loss no mix of conductors breaks a limit: some as before, some on the way; then
    /// some on the way, some there.
    #[test]
    fn no_mix_of_conductors_breaks_a_limit(fleet in fleets(), drawn in any::<u64>()) {
        let n = fleet.site_count();
        let mut plans = Plans::new(fleet.clone()).unwrap();
        let from = plans.upper_bound(&Loss::none(n)).unwrap();
        for loss in losses(n) {
            plans.get_or_compute(&loss).unwrap();
            let to = plans.upper_bound(&loss).unwrap();
            let here = plans.intermediate(&loss, &[&from], &to);
            for pair in [[&from, &here], [&here, &to]] {
                prop_assert_eq!(broken_by_mix(&fleet, &loss, &pair), None);
                // Three conductors at each entry, each by one of the two.
                let mut ways = Vec::new();
                for e in 0..n {
                    for i in 0..3 {
                        let allocation = pair[(drawn >> (e * 3 + i) & 1) as usize];
                        let of_entry = allocation.ways().filter(|(w, _)| w[1] == e);
                        // What goes to missing hosts reaches nobody.
                        let whole = |s: usize| loss.0[s].remaining_hosts() >= 1.0;
                        let there = of_entry.filter(|(w, _)| whole(w[2]) && whole(w[3]));
                        ways.extend(there.map(|(w, rate)| (w, rate / 3.0)));
                    }
                }
                prop_assert_eq!(over(&fleet, &loss, &ways, 1.0), None, "{:?}", loss);
            }
            for (c, e) in (0..fleet.class_count()).flat_map(|c| (0..n).map(move |e| (c, e))) {
                let comes: f64 = (0..fleet.tenants.len())
                    .map(|t| plans.get(&loss).unwrap().asked[c][t][e] * here.levels[c][t][e])
                    .sum();
                prop_assert!(comes <= here.taken(c, e) + 1e-3 + comes * 1e-4);
            }
        }
    }

    /// All conductors together never send returning hosts more than they bear, whichever of two steps each is at; what
    /// the survivors carry only falls.
    #[test]
    fn a_return_keeps_the_cold_bound(fleet in fleets(), site in 0..2usize) {
        let n = fleet.site_count();
        let plans = Plans::new(fleet.clone()).unwrap();
        let loss = Loss::none(n).with(site, Missing::Hosts);
        let mut last: Option<Allocation> = None;
        let from = plans.upper_bound(&loss).unwrap();
        let to = plans.upper_bound(&Loss::none(n)).unwrap();
        for step in ramp::return_steps(&fleet, site) {
            let here = from.toward(&to, step.share);
            let bears = if step.earliest_s >= 9.0 { 1.0 } else { 0.8 * (0.3 + 0.7 * step.earliest_s / 9.0) };
            let c = &fleet.capacity[site];
            let of = [c.prefill_tokens_per_s + c.mixed[0], c.prefill_memory_tokens + c.mixed[1], c.decode_tokens_per_s + c.mixed[2]];
            let limits = [Limit::PrefillRate(site), Limit::PrefillMemory(site), Limit::DecodeRate(site)];
            for (limit, of) in limits.into_iter().zip(of) {
                prop_assert!(here.used(limit) <= of * bears * (1.0 + 1e-6) + 1e-6, "{limit:?} at {step:?}");
            }
            if let Some(last) = &last {
                let way = plans.intermediate(&Loss::none(n), &[last], &here);
                prop_assert_eq!(broken_by_mix(&fleet, &Loss::none(n), &[last, &way]), None);
                prop_assert_eq!(broken_by_mix(&fleet, &Loss::none(n), &[&way, &here]), None);
            }
            last = Some(here);
        }
    }

    /// The table takes any commands in any order: steps come one by one, what held is not gone back behind, the epoch
    /// rises, and the same commands lead to the same table.
    #[test]
    fn the_table_keeps_the_order_of_steps(drawn in prop::collection::vec((0..5u8, 0..4u8, 0..4u8, 0..3u64), 1..120)) {
        let plans = Plans::new(three()).unwrap();
        let mut table = SiteTable::new(&plans).unwrap();
        let name = |i: u8| SiteName::try_from(format!("s{i}").as_str()).unwrap();
        let mut twin = table.clone();
        for (kind, a, b, c) in drawn {
            // Mostly of this epoch, sometimes of another.
            let epoch = (table.epoch() + 2).saturating_sub(if c == 2 { 3 } else { 2 });
            let site = name(a);
            let missing = if c == 0 { Missing::Nothing } else { Missing::All };
            let command = match kind {
                0 => Command::ReportMissing { observer: name(b), site, missing, plans: plans.fingerprint() },
                1 => Command::Settle { epoch },
                2 => Command::TryStep { epoch, site },
                3 => Command::HoldStep { epoch, site },
                _ => Command::StepBack { epoch, site },
            };
            let before = table.clone();
            let mut out = Vec::new();
            table.apply(command.clone(), &mut out);
            let refused = out.iter().any(|e| matches!(e, Effect::Refused(_)));
            prop_assert!(!refused || table == before);
            prop_assert!(table.epoch() >= before.epoch() && table.chain().len() <= 4);
            for s in 0..3 {
                let (was, is) = (before.state(s), table.state(s));
                if let (SiteState::Returning { step: k, held: h, .. }, SiteState::Returning { step, held, .. }) = (was, is) {
                    prop_assert!(step <= k + 1 && held >= h && step >= held && (step != k + 1 || k == h));
                }
                prop_assert!(was == is || table.epoch() > before.epoch());
            }
            twin.apply(command, &mut Vec::new());
        }
        let bytes = postcard::to_stdvec(&table).unwrap();
        prop_assert_eq!(&postcard::from_bytes::<SiteTable>(&bytes).unwrap(), &twin);
    }
}

/// Every split on a grid of levels and ways, of which those that keep the limits are compared by their worth.
#[test]
fn brute_force_finds_nothing_better() {
    // Two sites of which one is lost in hosts only, so that two entries share two ways or one.
    for (seed, hosts) in [(3, (2, 2)), (5, (1, 3)), (9, (3, 1)), (4, (2, 5))] {
        let sites = vec![(hosts.0, hosts.1, false), (2, 2, false)];
        let classes = vec![(1_500 + 300 * seed, 60 + 10 * seed, 2)];
        let t = tables(
            sites,
            vec![Some(9_000)],
            classes,
            vec![],
            vec![seed, 7, 9, 4],
        );
        let fleet = Fleet::new(t, &RoutingConfig::default()).unwrap();
        let loss = Loss::none(2);
        let plan = make(&fleet, &loss).unwrap();
        let price = |w: [usize; 4]| {
            let hops = f64::from(
                [w[1] != w[2], w[2] != w[3], w[3] != w[1]]
                    .map(u8::from)
                    .iter()
                    .sum::<u8>(),
            );
            let state = if w[2] == w[3] {
                0.0
            } else {
                fleet.tables.classes[w[0]].prompt_tokens / 1e3 * 0.005
            };
            hops * 1.5 * 0.002 + state
        };
        let mut best = f64::MIN;
        // For each class a level, for each class and entry how its requests are split over the four ways.
        let splits: Vec<[f64; 4]> = (0..125)
            .map(|i| [i % 5, i / 5 % 5, i / 25].map(|v| f64::from(v) / 4.0))
            .filter(|s| s.iter().sum::<f64>() <= 1.0)
            .map(|s| [s[0], s[1], s[2], 1.0 - s.iter().sum::<f64>()])
            .collect();
        for levels in (0..36).map(|i| [i % 6, i / 6].map(|v| f64::from(v) / 5.0)) {
            for a in &splits {
                for b in &splits {
                    let mut ways = Vec::new();
                    let mut worth = 0.0;
                    for c in 0..2 {
                        for (e, split) in [a, b].into_iter().enumerate() {
                            let rate = fleet.demand[c][0][e] * levels[c];
                            worth += rate * fleet.worth[c];
                            for (k, part) in split.iter().enumerate() {
                                let way = [c, e, k / 2, k % 2];
                                worth -= price(way) * rate * part;
                                ways.push((way, rate * part));
                            }
                        }
                    }
                    if worth > best && over(&fleet, &loss, &ways, 1.0).is_none() {
                        best = worth;
                    }
                }
            }
        }
        let found = plan.worth_kept - plan.crossings;
        assert!(
            found >= best - 1e-6,
            "{seed}: {found} by the program, {best} by brute force"
        );
        // The grid is coarse: a fifth of a class at the most lies between its points.
        assert!(
            found <= best + 0.35 * plan.worth_asked,
            "{seed}: {found} and {best}"
        );
    }
}

#[test]
fn a_guaranteed_share_that_can_t_be_borne_is_named() {
    let sites = vec![(1, 1, false), (4, 6, false), (4, 6, false)];
    let t = tables(
        sites,
        vec![Some(40_000)],
        vec![(2_000, 100, 2)],
        vec![60],
        vec![10],
    );
    let fleet = Fleet::new(t, &RoutingConfig::default()).unwrap();
    let plan = make(&fleet, &Loss::of(3, &[1, 2])).unwrap();
    let short: f64 = plan.shortfalls.iter().map(|s| s.short).sum();
    let promised: f64 = plan
        .order
        .iter()
        .filter(|r| r.guaranteed)
        .map(|r| r.refused)
        .sum();
    assert!(short > 1.0 && (short - promised).abs() < 1e-6);
    assert!(
        plan.shortfalls
            .iter()
            .all(|s| fleet.tenants[s.tenant] == "t0")
    );
    assert!(plan.scarce()[0].part() > 0.899);
    // All that is beyond guarantees went before.
    assert!(
        plan.order
            .iter()
            .filter(|r| !r.guaranteed)
            .all(|r| r.refused == r.asked)
    );
}

/// What is seen of site 1 by a conductor of site 0: conductors alive of three, whether hosts are reached, hosts listed
/// of ten; whether the group is heard; and of site 2 the conductors. Then what follows.
#[rstest]
#[case::lost((0, false, 0, true, 3), (Status::Lost, Missing::All, Cause::Site))]
#[case::conductors_only((0, true, 10, true, 3), (Status::Lost, Missing::Routers, Cause::Routers))]
#[case::hosts_only((3, false, 10, true, 3), (Status::Lost, Missing::Hosts, Cause::Hosts))]
#[case::half((3, true, 5, true, 3), (Status::Lost, Missing::HalfHosts, Cause::Half))]
#[case::discovery_only((3, true, 0, true, 3), (Status::Healthy, Missing::Nothing, Cause::Discovery))]
#[case::isolated((0, false, 0, false, 0), (Status::Lost, Missing::Hosts, Cause::Isolated))]
#[case::group_gone((0, false, 0, false, 3), (Status::Lost, Missing::All, Cause::Site))]
#[case::sound((3, true, 10, true, 3), (Status::Healthy, Missing::Nothing, Cause::None))]
fn what_is_seen_is_told_apart(
    #[case] (alive, reached, ready, in_touch, elsewhere): (u32, bool, u32, bool, u32),
    #[case] taken_for: (Status, Missing, Cause),
) {
    use watch::Event::*;
    let mut watch = Watch::new(WatchSettings::default(), 3, 0);
    let mut out = Vec::new();
    let mut now = S;
    watch.handle(
        now,
        Routers {
            site: 0,
            alive: 2,
            total: 3,
        },
        &mut out,
    );
    for site in 1..3 {
        watch.handle(
            now,
            Routers {
                site,
                alive: 3,
                total: 3,
            },
            &mut out,
        );
        watch.handle(
            now,
            Host {
                site,
                reached: true,
            },
            &mut out,
        );
    }
    now += 2 * S;
    for _ in 0..30 {
        now += S / 5;
        watch.handle(now, Leader { known: in_touch }, &mut out);
        watch.handle(
            now,
            Routers {
                site: 2,
                alive: elsewhere,
                total: 3,
            },
            &mut out,
        );
        watch.handle(
            now,
            Routers {
                site: 1,
                alive,
                total: 3,
            },
            &mut out,
        );
        watch.handle(
            now,
            Listed {
                site: 1,
                ready,
                total: 10,
            },
            &mut out,
        );
        watch.handle(now, Host { site: 1, reached }, &mut out);
    }
    assert_eq!(watch.status(1), taken_for);
}

/// Guards against a site that comes and goes and takes the fleet with it each time.
#[test]
fn a_site_that_flaps_is_trusted_more_slowly_each_time_and_bounded() {
    use watch::Event::*;
    let set = WatchSettings {
        most_doublings: 2,
        ..WatchSettings::default()
    };
    let mut watch = Watch::new(set, 2, 0);
    let mut out = Vec::new();
    let mut now = S;
    let mut waits = Vec::new();
    for _ in 0..5 {
        while watch.status(1).0 != Status::Lost {
            now += S / 10;
            watch.handle(
                now,
                Host {
                    site: 1,
                    reached: false,
                },
                &mut out,
            );
        }
        let from = now;
        while watch.status(1).0 != Status::Returning {
            now += S / 10;
            watch.handle(
                now,
                Host {
                    site: 1,
                    reached: true,
                },
                &mut out,
            );
            assert!(now < from + 60 * S);
        }
        waits.push((now - from) / S);
    }
    assert_eq!(waits, [5, 10, 20, 20, 20]);
    // Back for long: forgotten.
    watch.handle(now, FullyRestored { site: 1 }, &mut out);
    watch.handle(now + 700 * S, Tick, &mut out);
    now += 700 * S;
    while watch.status(1).0 != Status::Lost {
        now += S / 10;
        watch.handle(
            now,
            Host {
                site: 1,
                reached: false,
            },
            &mut out,
        );
    }
    let from = now;
    while watch.status(1).0 != Status::Returning {
        now += S / 10;
        watch.handle(
            now,
            Host {
                site: 1,
                reached: true,
            },
            &mut out,
        );
    }
    assert_eq!((now - from) / S, 5);
}

/// Guards against a ramp that swings: a bad step goes back once, to what has held, and the next try waits longer.
#[test]
fn a_bad_step_goes_back_to_the_one_that_held_and_no_further() {
    let fleet = three();
    let plans = Plans::new(fleet.clone()).unwrap();
    let mut table = SiteTable::new(&plans).unwrap();
    let mut ramp = Ramp::new(&fleet);
    let names = table.names().to_vec();
    let say = |table: &mut SiteTable, missing| {
        for by in [0, 1] {
            let (observer, site) = (names[by].clone(), names[2].clone());
            table.apply(
                Command::ReportMissing {
                    observer,
                    site,
                    missing,
                    plans: plans.fingerprint(),
                },
                &mut Vec::new(),
            );
        }
    };
    say(&mut table, Missing::All);
    say(&mut table, Missing::Nothing);
    let mut out = Vec::new();
    ramp.handle(0, ramp::Event::Pacing(true), &mut out);
    let (mut now, mut tried, mut bad) = (0, Vec::new(), 1);
    while table.state(2) != SiteState::Healthy {
        now += S / 10;
        assert!(now < 300 * S, "{:?}", table.state(2));
        ramp.handle(now, ramp::Event::Table(table.clone()), &mut out);
        if matches!(table.state(2), SiteState::Returning { step: 4, .. })
            && bad > 0
            && table.settled()
        {
            bad -= 1;
            let counts = OutcomeCounts {
                total: 100,
                late: 60,
                refused: 0,
            };
            ramp.handle(now, ramp::Event::Outcomes { site: 2, counts }, &mut out);
        }
        ramp.handle(now, ramp::Event::Tick, &mut out);
        for command in out.drain(..) {
            table.apply(command, &mut Vec::new());
            let SiteState::Returning { step, held, .. } = table.state(2) else {
                continue;
            };
            if tried.last().is_none_or(|(_, last)| *last != (step, held)) {
                tried.push((now, (step, held)));
            }
        }
    }
    let steps: Vec<_> = tried.iter().map(|(_, s)| *s).collect();
    let wanted = [
        (1, 0),
        (1, 1),
        (2, 1),
        (2, 2),
        (3, 2),
        (3, 3),
        (4, 3),
        (3, 3),
        (4, 3),
        (4, 4),
    ];
    assert_eq!(&steps[1..11], &wanted);
    // Two times the time of a step before it is tried again.
    assert!(tried[9].0 - tried[8].0 >= 6 * S);
}

fn host(zone: &str) -> Endpoint {
    Endpoint {
        worker: WorkerId(zone.into()),
        zone: zone.into(),
        kind: "read".into(),
        cell: 0,
        status: Ready,
        weight: 2.0,
        started: None,
    }
}

/// Guards against levels that clients turn into a flood by coming again, and against doors that differ.
#[test]
fn who_is_refused_is_refused_again_and_everywhere() {
    let fleet = three();
    let plans = Plans::new(fleet).unwrap();
    let loss = Loss::of(3, &[0]);
    let (plan, most) = (
        &plans.get(&loss).unwrap().allocation,
        plans.upper_bound(&loss).unwrap(),
    );
    let allocation = RouterAllocation::for_router(&plans, plan, &most, 1, 1, true);
    let partly = |c: &usize| (1..1_000_000).contains(&allocation.levels[*c][0]);
    let class = (0..2).find(partly).expect("a class that is taken in part");
    let level = allocation.levels[class][0];
    let mut gates = [AdmissionGate::new(S, 3 * S), AdmissionGate::new(S, 3 * S)];
    gates
        .iter_mut()
        .for_each(|g| g.set_allocation(0, allocation.clone()));
    let (mut taken, mut now) = (0, 0);
    for i in 0..2_000u32 {
        now += S / 2;
        let key = format!("request-{i}");
        let door = gates[0].check(now, class, 0, key.as_bytes(), false);
        taken += u32::from(door == Admission::Accept);
        if let Admission::Refuse {
            retry_after,
            by_level,
        } = door
        {
            assert!(by_level && (S..=3 * S).contains(&retry_after));
            // At the same door, at another, and with work in hand.
            assert_ne!(
                gates[0].check(now + 1, class, 0, key.as_bytes(), false),
                Admission::Accept
            );
            assert_ne!(
                gates[1].check(now, class, 0, key.as_bytes(), false),
                Admission::Accept
            );
            assert_eq!(
                gates[1].check(now, class, 0, key.as_bytes(), true),
                Admission::Accept
            );
        }
    }
    let part = f64::from(taken) / 2_000.0;
    assert!(
        (part - f64::from(level) / 1e6).abs() < 0.05,
        "{part} of {level}"
    );
    // A class that the file doesn't expect is not limited.
    assert_eq!(gates[0].check(now, 9, 0, b"new", false), Admission::Accept);
    let mut list = vec![host("s0"), host("s1"), host("elsewhere")];
    allocation.apply_weights(
        &mut list,
        |_| Some(Role::Prefill),
        |zone| plans.fleet().site_index(zone),
    );
    assert_eq!(
        list.iter().map(|e| e.status).collect::<Vec<_>>(),
        [Draining, Ready, Ready]
    );
    assert!(list[1].weight > 0.0 && list[1].weight <= 2.0 && list[2].weight == 2.0);
    // A flood of new requests: no more than this conductor's part, which a third of the site's is.
    let flood = (0..20_000u32).filter(|i| {
        gates[1].check(
            now + u64::from(*i) * 1_000,
            class,
            0,
            &i.to_le_bytes(),
            false,
        ) == Admission::Accept
    });
    let bears = most.taken(class, 1) / 3.0 * 22.0;
    assert!(flood.count() as f64 <= bears + 5.0);
}

/// Guards against one conductor that, without a group, acts as if all others had seen what it sees; and against one
/// that is cut off and sends to what it can't reach.
#[rstest]
#[case::no_leader(3, true)]
#[case::isolated(0, false)]
fn without_a_group_a_conductor_harms_nobody(#[case] elsewhere: u32, #[case] takes_over: bool) {
    use watch::Event::*;
    let mut plans = Plans::new(three()).unwrap();
    let mut member = Member::new(&plans, 1, 5);
    let table = SiteTable::new(&plans).unwrap();
    let mut out = Vec::new();
    let mut see = |member: &mut Member, plans: &mut Plans, now, event| {
        out.clear();
        member.handle(plans, now, member::Event::Observed(event), &mut out);
        out.iter().any(|a| matches!(a, member::Action::Propose(_)))
    };
    member.handle(
        &mut plans,
        0,
        member::Event::Table(Box::new(table)),
        &mut Vec::new(),
    );
    let usual = member.allocation().clone();
    assert!(!usual.degraded && usual.weights[1] == [1_000_000; 2]);
    let mut now = S;
    for site in 0..3 {
        see(
            &mut member,
            &mut plans,
            now,
            Routers {
                site,
                alive: 3,
                total: 3,
            },
        );
    }
    now += 2 * S;
    see(&mut member, &mut plans, now, Leader { known: false });
    see(
        &mut member,
        &mut plans,
        now,
        Routers {
            site: 0,
            alive: 0,
            total: 3,
        },
    );
    see(
        &mut member,
        &mut plans,
        now,
        Routers {
            site: 2,
            alive: elsewhere,
            total: 3,
        },
    );
    let mut proposed = false;
    for _ in 0..20 {
        now += S / 5;
        proposed |= see(
            &mut member,
            &mut plans,
            now,
            Host {
                site: 0,
                reached: false,
            },
        );
    }
    let allocation = member.allocation();
    assert!(allocation.degraded && allocation.weights[0] == [0; 2]);
    assert_eq!(proposed, takes_over);
    // Its part of the survivors' limits is what the allocation on the way gives it, not the whole plan's.
    let loss = Loss::of(3, &[0]);
    let (from, to) = (
        plans.upper_bound(&Loss::none(3)).unwrap(),
        plans.upper_bound(&loss).unwrap(),
    );
    let here = plans.intermediate(&loss, &[&from], &to);
    for c in 0..2 {
        let most = here.taken(c, 1) / 3.0 * 1e3 + 1.0;
        assert!(
            allocation.max_per_1000_s[c].unwrap() as f64
                <= if takes_over {
                    most
                } else {
                    usual.max_per_1000_s[c].unwrap() as f64
                }
        );
    }
}
