//! A fleet of sites in memory: hosts that queue and fall over when overfilled, conductors that run
//! [`whinhaven::fleet::sites`], clients that come again. One seed, no clock, no sockets.

mod hosts;
mod run;

pub use run::{Outcome, Rule, Second, run};

use whinhaven::fleet::sites::describe::{
    Class, Demand, Fleet, Hosts, Link, RampSettings, Site, Tables, Tenant, WatchSettings,
};

/// What happens to the fleet.
#[derive(Clone, Debug)]
pub struct Day {
    /// Sites, all alike.
    pub sites: usize,
    /// Conductors of each site.
    pub conductors: u32,
    /// Readers of each site; there are half as many writers more.
    pub readers: u32,
    /// Usual demand, as a part of what a site was sized for.
    pub demand: f64,
    /// Seconds until site 0 is lost whole.
    pub lost_at: u64,
    /// Seconds until it is back, its hosts cold.
    pub back_at: u64,
    /// Seconds in all.
    pub end: u64,
    /// For all that is random.
    pub seed: u64,
    /// Seconds at which site 0, back already, is lost again for five seconds.
    pub flaps: Vec<u64>,
}

impl Day {
    /// 300 conductors and 100 hosts at 5 sites.
    pub fn large(seed: u64) -> Self {
        Day {
            sites: 5,
            conductors: 60,
            readers: 8,
            demand: 1.0,
            lost_at: 40,
            back_at: 100,
            end: 200,
            seed,
            flaps: Vec::new(),
        }
    }

    /// 18 conductors and 30 hosts at 3 sites.
    pub fn small(seed: u64) -> Self {
        let large = Day::large(seed);
        Day {
            sites: 3,
            conductors: 6,
            readers: 4,
            lost_at: 15,
            back_at: 40,
            end: 100,
            ..large
        }
    }

    /// The fleet's tables.
    pub fn fleet(&self) -> Fleet {
        let name = |s: usize| format!("site-{s}");
        let host = |s: usize, kind: &str, count: u32| Hosts {
            site: name(s),
            kind: kind.into(),
            role: Some(kind.into()),
            count,
            slots: if kind == "read" { 8 } else { 80 },
            memory_tokens: if kind == "read" { 200_000.0 } else { 400_000.0 },
            tokens_per_s: 18_000.0,
            token_ms: 50.0,
            cold_from: Some(0.3),
            cold_s: Some(9.0),
        };
        let class = |name: &str, prompt_tokens, kept, answer_tokens, worth| Class {
            name: name.into(),
            prompt_tokens,
            kept,
            kept_moved: Some(kept * 0.6),
            answer_tokens,
            worth: Some(worth),
        };
        let size = f64::from(self.readers) / 8.0 * self.demand;
        let rows = [
            ("explain", "acme", 18.0),
            ("explain", "", 22.0),
            ("send", "acme", 10.0),
            ("send", "", 20.0),
        ];
        let rows = rows
            .into_iter()
            .chain([("digest", "bolt", 15.0), ("digest", "", 10.0)]);
        let mut demand = Vec::new();
        for (class, tenant, per_s) in rows {
            demand.extend((0..self.sites).map(|s| Demand {
                class: class.into(),
                tenant: tenant.into(),
                site: name(s),
                per_s: per_s * size,
            }));
        }
        let pairs = (0..self.sites).flat_map(|a| (a + 1..self.sites).map(move |b| (a, b)));
        let tables = Tables {
            fill: 0.9,
            hold_s: 0.3,
            price_per_ms: 0.002,
            price_per_1000_tokens: 0.005,
            watch: WatchSettings::default(),
            ramp: RampSettings::default(),
            site: (0..self.sites)
                .map(|s| Site {
                    name: name(s),
                    routers: self.conductors,
                    falls_to: Default::default(),
                })
                .collect(),
            hosts: (0..self.sites)
                .flat_map(|s| {
                    [
                        host(s, "read", self.readers),
                        host(s, "write", self.readers * 3 / 2),
                    ]
                })
                .collect(),
            links: pairs
                .map(|(a, b)| Link {
                    between: [name(a), name(b)],
                    tokens_per_s: 100_000.0,
                    delay_ms: 1.5,
                })
                .collect(),
            classes: vec![
                class("explain", 3_000.0, 0.7, 150.0, 3.0),
                class("send", 5_000.0, 0.75, 100.0, 2.0),
                class("digest", 2_500.0, 0.5, 200.0, 1.0),
            ],
            tenants: [("acme", 60.0), ("bolt", 20.0)]
                .map(|(name, per_s)| Tenant {
                    name: name.into(),
                    guaranteed_per_s: per_s * size,
                })
                .to_vec(),
            demand,
        };
        Fleet::new(tables, &Default::default()).expect("the tables of the lab are sound")
    }
}
