//! Scenario tests, and property tests over random fleets.

#![allow(
    clippy::needless_range_loop,
    reason = "sites and classes are indexes into several tables at once"
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

/// Tables with sites that have hosts of each stage and possibly one that does both, links between some of them, and
/// classes of which the first two differ only in worth.
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
        failover_weights: Default::default(),
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
        .flat_map(|(i, (prefill_hosts, decode_hosts, mixed))| {
            let mixed = if *mixed { 1 } else { 0 };
            [
                (i, (*prefill_hosts, "read")),
                (i, (*decode_hosts, "write")),
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
    let higher_worth = classes[0].worth.map(|w| w + 1.0);
    classes.insert(
        0,
        Class {
            name: "twin".into(),
            worth: higher_worth,
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
    // Both classes of the pair have the same demand.
    let rows_per_class = rows_of_demand.len() / classes.len();
    for i in 0..rows_per_class {
        rows_of_demand[rows_per_class + i].per_s = rows_of_demand[i].per_s;
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

/// Three sites, of which two can serve only part of the load of all three.
fn three_sites() -> Fleet {
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
    let two = (0..n).flat_map(|a| (a + 1..n).map(move |b| Loss::of_whole_sites(n, &[a, b])));
    one.chain(two).chain([Loss::none(n)]).collect()
}

/// The limit that traffic on these routes exceeds, computed independently from the tables alone; `cached` scales the
/// cached share of prompts.
fn exceeded_limit(
    fleet: &Fleet,
    loss: &Loss,
    routes: &[([usize; 4], f64)],
    cached: f64,
) -> Option<String> {
    let n = fleet.site_count();
    let mut used = vec![[0.0; 4]; n];
    let mut links = vec![vec![0.0; n]; n];
    for ([c, _, r, w], rate) in routes {
        let class = &fleet.tables.classes[*c];
        let uncached = class.prompt_tokens * (1.0 - class.kept * cached);
        let slot_s_per_token = 10.0 / 10_000.0; // at a prefill worker with all ten slots in use
        let transfer_s = if r == w {
            0.0
        } else {
            class.prompt_tokens / fleet.links[*r][*w].unwrap().0 + 0.0015
        };
        used[*r][0] += rate * uncached;
        used[*r][1] +=
            rate * class.prompt_tokens * (uncached * slot_s_per_token + transfer_s + 0.3);
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
        let (prefill_hosts, decode_hosts, mixed_hosts) =
            (count("read"), count("write"), count("mixed"));
        // Number of hosts doing both stages that each stage needs beyond its own hosts.
        let need =
            |resource: usize, own: f64, per_host: f64| (used[resource] / per_host - own).max(0.0);
        let prefill = need(0, prefill_hosts, 10_000.0).max(need(1, prefill_hosts, 60_000.0));
        let decode = need(2, decode_hosts, 250.0).max(need(3, decode_hosts, 60_000.0));
        if prefill + decode > mixed_hosts + 1e-4 {
            return Some(format!("site {s}: {prefill} and {decode} of {mixed_hosts}"));
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

    /// No plan exceeds a limit or uses missing hosts or links. All admitted requests have a route, all others are
    /// listed as refused, and of two classes with the same cost the one worth more is never refused first.
    #[test]
    fn every_plan_keeps_all_limits_and_the_refusal_order(fleet in fleets()) {
        let n = fleet.site_count();
        for loss in losses(n) {
            let plan = compute_plan(&fleet, &loss).unwrap();
            let routes: Vec<_> = plan.allocation.routes().collect();
            // The check counts on more cached tokens than the plan does, so the computed use can only be lower.
            prop_assert_eq!(exceeded_limit(&fleet, &loss, &routes, 1.0), None, "{:?}", loss);
            let (mut admitted, mut refused) = (0.0, plan.refusal_order.iter().map(|r| r.refused).sum::<f64>());
            for c in 0..fleet.class_count() {
                for e in 0..n {
                    let levels = &plan.allocation.levels[c];
                    let entry_rate: f64 = plan.offered[c].iter().zip(levels).map(|(a, l)| a[e] * l[e]).sum();
                    prop_assert!((entry_rate - plan.allocation.admitted_rate(c, e)).abs() < 1e-3 + entry_rate * 1e-4);
                    prop_assert!(!loss.0[e].routers_missing() || entry_rate == 0.0);
                    admitted += entry_rate;
                    for (t, level) in levels.iter().enumerate() {
                        let (more, less) = (plan.allocation.levels[0][t][e], plan.allocation.levels[1][t][e]);
                        prop_assert!(more >= less - 1e-6, "{:?}: {more} of the class worth more, {less} of the other", loss);
                        prop_assert!((0.0..=1.0).contains(&level[e]));
                    }
                }
            }
            let usual: f64 = fleet.demand.iter().flatten().flatten().sum();
            let any_entry = loss.0.iter().any(|m| !m.routers_missing());
            refused += if any_entry { 0.0 } else { usual };
            prop_assert!((admitted + refused - usual).abs() < 1e-3 * usual.max(1.0), "{admitted} {refused} {usual}");
            for s in &plan.shortfalls {
                let beyond = plan.refusal_order.iter().find(|r| r.class == s.class && !r.guaranteed);
                let admitted_beyond = beyond.map_or(0.0, |r| r.offered - r.refused);
                // Other requests may still be admitted where no guaranteed request could be served instead.
                prop_assert!(s.refused > 0.0 && (admitted_beyond < 1e-3 || !plan.binding_limits().is_empty() || n > 1));
            }
        }
    }

    /// No mix of routers exceeds a limit on the way from the usual plan to that of a loss: neither of routers at the
    /// usual plan and at the intermediate allocation, nor at the intermediate allocation and the plan for the loss.
    #[test]
    fn no_mix_of_routers_exceeds_a_limit(fleet in fleets(), drawn in any::<u64>()) {
        let n = fleet.site_count();
        let mut plans = Plans::new(fleet.clone()).unwrap();
        let from = plans.upper_bound(&Loss::none(n)).unwrap();
        for loss in losses(n) {
            plans.get_or_compute(&loss).unwrap();
            let to = plans.upper_bound(&loss).unwrap();
            let here = plans.intermediate(&loss, &[&from], &to);
            for pair in [[&from, &here], [&here, &to]] {
                prop_assert_eq!(limit_exceeded_by_mix(&fleet, &loss, &pair), None);
                // Three routers at each entry, each acting by one of the two.
                let mut routes = Vec::new();
                for e in 0..n {
                    for i in 0..3 {
                        let allocation = pair[(drawn >> (e * 3 + i) & 1) as usize];
                        let from_entry = allocation.routes().filter(|(route, _)| route[1] == e);
                        // Requests to missing hosts reach nobody.
                        let hosts_complete = |s: usize| loss.0[s].remaining_hosts() >= 1.0;
                        let reaching = from_entry.filter(|(route, _)| hosts_complete(route[2]) && hosts_complete(route[3]));
                        routes.extend(reaching.map(|(route, rate)| (route, rate / 3.0)));
                    }
                }
                prop_assert_eq!(exceeded_limit(&fleet, &loss, &routes, 1.0), None, "{:?}", loss);
            }
            for (c, e) in (0..fleet.class_count()).flat_map(|c| (0..n).map(move |e| (c, e))) {
                let admitted: f64 = (0..fleet.tenants.len())
                    .map(|t| plans.get(&loss).unwrap().offered[c][t][e] * here.levels[c][t][e])
                    .sum();
                prop_assert!(admitted <= here.admitted_rate(c, e) + 1e-3 + admitted * 1e-4);
            }
        }
    }

    /// All routers together never send returning hosts more than they can serve while warming up, whichever of two
    /// steps each router is at. The load of the other sites only falls.
    #[test]
    fn a_return_stays_within_the_capacity_of_cold_hosts(fleet in fleets(), site in 0..2usize) {
        let n = fleet.site_count();
        let plans = Plans::new(fleet.clone()).unwrap();
        let loss = Loss::none(n).with(site, Missing::Hosts);
        let mut last: Option<Allocation> = None;
        let from = plans.upper_bound(&loss).unwrap();
        let to = plans.upper_bound(&Loss::none(n)).unwrap();
        for step in ramp::return_steps(&fleet, site) {
            let here = from.interpolate(&to, step.share);
            let cold_share = if step.earliest_s >= 9.0 { 1.0 } else { 0.8 * (0.3 + 0.7 * step.earliest_s / 9.0) };
            let c = &fleet.capacity[site];
            let available = [c.prefill_tokens_per_s + c.mixed[0], c.prefill_memory_tokens + c.mixed[1], c.decode_tokens_per_s + c.mixed[2]];
            let limits = [Limit::PrefillRate(site), Limit::PrefillMemory(site), Limit::DecodeRate(site)];
            for (limit, available) in limits.into_iter().zip(available) {
                prop_assert!(here.usage(limit) <= available * cold_share * (1.0 + 1e-6) + 1e-6, "{limit:?} at {step:?}");
            }
            if let Some(last) = &last {
                let between = plans.intermediate(&Loss::none(n), &[last], &here);
                prop_assert_eq!(limit_exceeded_by_mix(&fleet, &Loss::none(n), &[last, &between]), None);
                prop_assert_eq!(limit_exceeded_by_mix(&fleet, &Loss::none(n), &[&between, &here]), None);
            }
            last = Some(here);
        }
    }

    /// The table accepts any commands in any order: steps are taken one by one, a confirmed step is never given up,
    /// the epoch never falls, and the same commands lead to the same table.
    #[test]
    fn the_table_takes_steps_in_order_under_any_commands(drawn in prop::collection::vec((0..5u8, 0..4u8, 0..4u8, 0..3u64), 1..120)) {
        let plans = Plans::new(three_sites()).unwrap();
        let mut table = SiteTable::new(&plans).unwrap();
        let name = |i: u8| SiteName::try_from(format!("s{i}").as_str()).unwrap();
        let mut replica = table.clone();
        for (kind, site, observer, variant) in drawn {
            // Mostly the current epoch, sometimes an older one.
            let epoch = (table.epoch() + 2).saturating_sub(if variant == 2 { 3 } else { 2 });
            let site = name(site);
            let missing = if variant == 0 { Missing::Nothing } else { Missing::All };
            let command = match kind {
                0 => Command::ReportMissing { observer: name(observer), site, missing, plans: plans.fingerprint() },
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
            prop_assert!(table.epoch() >= before.epoch() && table.transition().len() <= 4);
            for s in 0..3 {
                let (was, is) = (before.state(s), table.state(s));
                if let (SiteState::Returning { step: old_step, held: old_held, .. }, SiteState::Returning { step, held, .. }) = (was, is) {
                    prop_assert!(step <= old_step + 1 && held >= old_held && step >= held && (step != old_step + 1 || old_step == old_held));
                }
                prop_assert!(was == is || table.epoch() > before.epoch());
            }
            replica.apply(command, &mut Vec::new());
        }
        let bytes = postcard::to_stdvec(&table).unwrap();
        prop_assert_eq!(&postcard::from_bytes::<SiteTable>(&bytes).unwrap(), &replica);
    }
}

/// Compares the plan with every split on a grid of levels and routes that keeps the limits. Guards against a linear
/// program that misses better plans.
#[test]
fn exhaustive_search_finds_no_better_plan() {
    // Two sites, so that the requests of each entry have four routes.
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
        let plan = compute_plan(&fleet, &loss).unwrap();
        let price = |route: [usize; 4]| {
            let hops = f64::from(
                [
                    route[1] != route[2],
                    route[2] != route[3],
                    route[3] != route[1],
                ]
                .map(u8::from)
                .iter()
                .sum::<u8>(),
            );
            let state = if route[2] == route[3] {
                0.0
            } else {
                fleet.tables.classes[route[0]].prompt_tokens / 1e3 * 0.005
            };
            hops * 1.5 * 0.002 + state
        };
        let mut best = f64::MIN;
        // For each class an admission level; for each entry how its requests are split over the four routes.
        let splits: Vec<[f64; 4]> = (0..125)
            .map(|i| [i % 5, i / 5 % 5, i / 25].map(|v| f64::from(v) / 4.0))
            .filter(|s| s.iter().sum::<f64>() <= 1.0)
            .map(|s| [s[0], s[1], s[2], 1.0 - s.iter().sum::<f64>()])
            .collect();
        for levels in (0..36).map(|i| [i % 6, i / 6].map(|v| f64::from(v) / 5.0)) {
            for a in &splits {
                for b in &splits {
                    let mut routes = Vec::new();
                    let mut worth = 0.0;
                    for c in 0..2 {
                        for (e, split) in [a, b].into_iter().enumerate() {
                            let rate = fleet.demand[c][0][e] * levels[c];
                            worth += rate * fleet.worth[c];
                            for (k, part) in split.iter().enumerate() {
                                let route = [c, e, k / 2, k % 2];
                                worth -= price(route) * rate * part;
                                routes.push((route, rate * part));
                            }
                        }
                    }
                    if worth > best && exceeded_limit(&fleet, &loss, &routes, 1.0).is_none() {
                        best = worth;
                    }
                }
            }
        }
        let found = plan.worth_kept - plan.route_cost;
        assert!(
            found >= best - 1e-6,
            "{seed}: {found} by the linear program, {best} by search"
        );
        // The grid is coarse: its points are up to a fifth of a class apart.
        assert!(
            found <= best + 0.35 * plan.worth_offered,
            "{seed}: {found} and {best}"
        );
    }
}

#[test]
fn guaranteed_requests_that_cannot_be_served_are_listed() {
    let sites = vec![(1, 1, false), (4, 6, false), (4, 6, false)];
    let t = tables(
        sites,
        vec![Some(40_000)],
        vec![(2_000, 100, 2)],
        vec![60],
        vec![10],
    );
    let fleet = Fleet::new(t, &RoutingConfig::default()).unwrap();
    let plan = compute_plan(&fleet, &Loss::of_whole_sites(3, &[1, 2])).unwrap();
    let short: f64 = plan.shortfalls.iter().map(|s| s.refused).sum();
    let guaranteed_refused: f64 = plan
        .refusal_order
        .iter()
        .filter(|r| r.guaranteed)
        .map(|r| r.refused)
        .sum();
    assert!(short > 1.0 && (short - guaranteed_refused).abs() < 1e-6);
    assert!(
        plan.shortfalls
            .iter()
            .all(|s| fleet.tenants[s.tenant] == "t0")
    );
    assert!(plan.binding_limits()[0].utilization() > 0.899);
    // All requests beyond the guarantees are refused first.
    assert!(
        plan.refusal_order
            .iter()
            .filter(|r| !r.guaranteed)
            .all(|r| r.refused == r.offered)
    );
}

/// Observations of site 1 by a router of site 0: routers alive out of three, whether hosts are reached, hosts listed
/// out of ten, whether the leader is known, and the routers alive at site 2. Then the expected status.
#[rstest]
#[case::lost((0, false, 0, true, 3), (Status::Lost, Missing::All, Cause::Site))]
#[case::routers_only((0, true, 10, true, 3), (Status::Lost, Missing::Routers, Cause::Routers))]
#[case::hosts_only((3, false, 10, true, 3), (Status::Lost, Missing::Hosts, Cause::Hosts))]
#[case::half((3, true, 5, true, 3), (Status::Lost, Missing::HalfHosts, Cause::Half))]
#[case::discovery_only((3, true, 0, true, 3), (Status::Healthy, Missing::Nothing, Cause::Discovery))]
#[case::isolated((0, false, 0, false, 0), (Status::Lost, Missing::Hosts, Cause::Isolated))]
#[case::leader_unknown((0, false, 0, false, 3), (Status::Lost, Missing::All, Cause::Site))]
#[case::healthy((3, true, 10, true, 3), (Status::Healthy, Missing::Nothing, Cause::None))]
fn observations_lead_to_the_expected_status(
    #[case] (alive, reached, ready, leader_known, alive_at_site_2): (u32, bool, u32, bool, u32),
    #[case] expected: (Status, Missing, Cause),
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
        watch.handle(
            now,
            Leader {
                known: leader_known,
            },
            &mut out,
        );
        watch.handle(
            now,
            Routers {
                site: 2,
                alive: alive_at_site_2,
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
    assert_eq!(watch.status(1), expected);
}

/// Guards against a flapping site that disturbs the fleet each time: every loss soon after a return doubles the
/// hold-down, up to a bound, until the site was healthy for long.
#[test]
fn hold_down_doubles_with_each_flap_up_to_a_bound() {
    use watch::Event::*;
    let settings = WatchSettings {
        max_doublings: 2,
        ..WatchSettings::default()
    };
    let mut watch = Watch::new(settings, 2, 0);
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
    // After a long healthy time, earlier losses are forgotten.
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

/// Guards against a return that oscillates: a bad step falls back once, to the last confirmed step, and the next try
/// waits longer.
#[test]
fn a_bad_step_falls_back_to_the_last_confirmed_step() {
    let fleet = three_sites();
    let plans = Plans::new(fleet.clone()).unwrap();
    let mut table = SiteTable::new(&plans).unwrap();
    let mut ramp = Ramp::new(&fleet);
    let names = table.names().to_vec();
    let report = |table: &mut SiteTable, missing| {
        for observer in [0, 1] {
            let (observer, site) = (names[observer].clone(), names[2].clone());
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
    report(&mut table, Missing::All);
    report(&mut table, Missing::Nothing);
    let mut out = Vec::new();
    ramp.handle(0, ramp::Event::Pacing(true), &mut out);
    let (mut now, mut tried, mut bad_reports) = (0, Vec::new(), 1);
    while table.state(2) != SiteState::Healthy {
        now += S / 10;
        assert!(now < 300 * S, "{:?}", table.state(2));
        ramp.handle(now, ramp::Event::Table(table.clone()), &mut out);
        if matches!(table.state(2), SiteState::Returning { step: 4, .. })
            && bad_reports > 0
            && table.settled()
        {
            bad_reports -= 1;
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
    let expected = [
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
    assert_eq!(&steps[1..11], &expected);
    // A step is tried again only after twice the duration of a step.
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

/// Guards against refused clients that get in by retrying, which would turn refusals into a flood, and against routers
/// of a site that decide differently.
#[test]
fn a_refused_request_is_refused_again_and_by_every_router() {
    let fleet = three_sites();
    let plans = Plans::new(fleet).unwrap();
    let loss = Loss::of_whole_sites(3, &[0]);
    let (plan, upper) = (
        &plans.get(&loss).unwrap().allocation,
        plans.upper_bound(&loss).unwrap(),
    );
    let allocation = RouterAllocation::for_router(&plans, plan, &upper, 1, 1, true);
    let partly_admitted = |c: &usize| (1..1_000_000).contains(&allocation.levels[*c][0]);
    let class = (0..2)
        .find(partly_admitted)
        .expect("the loss leaves one class admitted in part");
    let level = allocation.levels[class][0];
    let mut gates = [AdmissionGate::new(S, 3 * S), AdmissionGate::new(S, 3 * S)];
    gates
        .iter_mut()
        .for_each(|g| g.set_allocation(0, allocation.clone()));
    let (mut admitted, mut now) = (0, 0);
    for i in 0..2_000u32 {
        now += S / 2;
        let key = format!("request-{i}");
        let admission = gates[0].check(now, class, 0, key.as_bytes(), false);
        admitted += u32::from(admission == Admission::Accept);
        if let Admission::Refuse {
            retry_after,
            by_level,
        } = admission
        {
            assert!(by_level && (S..=3 * S).contains(&retry_after));
            // The same router refuses the retry, another router refuses it too, and neither refuses a request in
            // progress.
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
    let part = f64::from(admitted) / 2_000.0;
    assert!(
        (part - f64::from(level) / 1e6).abs() < 0.05,
        "{part} of {level}"
    );
    // A class that the configuration does not expect is not limited.
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
    // A flood of new requests: this router admits no more than its share, a third of the site's.
    let admitted_in_flood = (0..20_000u32).filter(|i| {
        gates[1].check(
            now + u64::from(*i) * 1_000,
            class,
            0,
            &i.to_le_bytes(),
            false,
        ) == Admission::Accept
    });
    let max_admitted = upper.admitted_rate(class, 1) / 3.0 * 22.0;
    assert!(admitted_in_flood.count() as f64 <= max_admitted + 5.0);
}

/// Guards against a router that, without contact with the leader, acts as if all others had seen what it sees, and
/// against an isolated router that sends to hosts it can't reach.
#[rstest]
#[case::no_leader(3, true)]
#[case::isolated(0, false)]
fn without_a_leader_a_router_overloads_no_site(
    #[case] alive_at_site_2: u32,
    #[case] acts_alone: bool,
) {
    use watch::Event::*;
    let mut plans = Plans::new(three_sites()).unwrap();
    let mut member = Member::new(&plans, 1, 5);
    let table = SiteTable::new(&plans).unwrap();
    let mut out = Vec::new();
    let mut observe = |member: &mut Member, plans: &mut Plans, now, event| {
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
        observe(
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
    observe(&mut member, &mut plans, now, Leader { known: false });
    observe(
        &mut member,
        &mut plans,
        now,
        Routers {
            site: 0,
            alive: 0,
            total: 3,
        },
    );
    observe(
        &mut member,
        &mut plans,
        now,
        Routers {
            site: 2,
            alive: alive_at_site_2,
            total: 3,
        },
    );
    let mut proposed = false;
    for _ in 0..20 {
        now += S / 5;
        proposed |= observe(
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
    assert_eq!(proposed, acts_alone);
    // Its share of the remaining sites' limits is that of the intermediate allocation, not that of the plan for the
    // loss.
    let loss = Loss::of_whole_sites(3, &[0]);
    let (from, to) = (
        plans.upper_bound(&Loss::none(3)).unwrap(),
        plans.upper_bound(&loss).unwrap(),
    );
    let here = plans.intermediate(&loss, &[&from], &to);
    for c in 0..2 {
        let max = here.admitted_rate(c, 1) / 3.0 * 1e3 + 1.0;
        assert!(
            allocation.max_per_1000_s[c].unwrap() as f64
                <= if acts_alone {
                    max
                } else {
                    usual.max_per_1000_s[c].unwrap() as f64
                }
        );
    }
}

/// Guards against a renamed variant that changes what operators write after `--part`.
#[test]
fn values_of_the_part_option_stay_as_documented() {
    use clap::ValueEnum;
    let names: Vec<_> = super::command::Part::value_variants()
        .iter()
        .map(|part| part.to_possible_value().unwrap().get_name().to_owned())
        .collect();
    assert_eq!(names, ["all", "hosts", "half", "conductors"]);
}
