//! What an operator's `[sites]` tables say: sites, hosts, links, usual demand, guaranteed shares.

use crate::routing::types::{Role, RoutingConfig as ModuleSettings};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The most sites, hosts' rows, classes, tenants and rows of demand that a file may name.
const MOST: [(&str, usize); 5] = [
    ("site", 16),
    ("hosts", 256),
    ("classes", 32),
    ("tenants", 128),
    ("demand", 4096),
];

/// The longest time that hosts may take to be warm, in seconds: it bounds the steps of a return.
const MOST_COLD_S: f64 = 1_800.0;

/// The `[sites]` tables can't be used; one line that names the row and the field.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("sites: {0}")]
pub struct SitesConfigError(pub String);

/// A site.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Its name: the zone of its hosts and conductors.
    pub name: String,
    /// Its conductors; each one's part of the site's plan is one of so many.
    #[serde(rename = "conductors", default = "one")]
    pub routers: u32,
    /// Where its clients come in while it is lost, as parts; empty: evenly at all other sites.
    #[serde(default)]
    pub falls_to: BTreeMap<String, f64>,
}

/// Hosts of one kind at one site.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hosts {
    /// The site's name.
    pub site: String,
    /// The kind's name.
    pub kind: String,
    /// What they do; absent: as `settings.family_info` says of the kind.
    #[serde(default)]
    pub role: Option<String>,
    /// How many.
    pub count: u32,
    /// Requests at once, of each host.
    pub slots: u32,
    /// Memory of each host in tokens.
    pub memory_tokens: f64,
    /// Prompt tokens a second that a reader reads, all its slots together.
    #[serde(default)]
    pub tokens_per_s: f64,
    /// Milliseconds between two tokens of a stream at a writer whose slots are all taken.
    #[serde(default)]
    pub token_ms: f64,
    /// The part of its capacity with which it starts; absent: as `settings.rules` says.
    #[serde(default)]
    pub cold_from: Option<f64>,
    /// Seconds until it is warm; absent: as `settings.rules` says.
    #[serde(default)]
    pub cold_s: Option<f64>,
}

/// A link between two sites, the same both ways.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// The two sites' names.
    pub between: [String; 2],
    /// Tokens of state a second, each way.
    pub tokens_per_s: f64,
    /// Milliseconds one way.
    pub delay_ms: f64,
}

/// What a usual request of a class is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name in `settings.classes`.
    pub name: String,
    /// Prompt tokens.
    pub prompt_tokens: f64,
    /// The part of the prompt that a reader has kept, usually.
    #[serde(default)]
    pub kept: f64,
    /// The same for a client that had to go to another site; absent: half of `kept`.
    #[serde(default)]
    pub kept_moved: Option<f64>,
    /// Answer tokens.
    pub answer_tokens: f64,
    /// Worth of one request; absent: the class's value in the settings.
    #[serde(default)]
    pub worth: Option<f64>,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Requests a second, of all its classes at all sites, that are the last to be refused.
    pub guaranteed_per_s: f64,
}

/// Usual demand.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Demand {
    /// The class's name.
    pub class: String,
    /// The tenant's name; absent: nobody's in particular.
    #[serde(default)]
    pub tenant: String,
    /// The site at which its clients come in.
    pub site: String,
    /// Requests a second.
    pub per_s: f64,
}

/// The `[sites]` tables as written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tables {
    /// The part of each limit that a plan fills at most.
    #[serde(default = "fill")]
    pub fill: f64,
    /// Seconds that a read state waits for its writer.
    #[serde(default = "hold_s")]
    pub hold_s: f64,
    /// Worth that one millisecond of way costs a request.
    #[serde(default = "price_per_ms")]
    pub price_per_ms: f64,
    /// Worth that 1,000 tokens of state cost that cross a link.
    #[serde(default = "price_per_1000_tokens")]
    pub price_per_1000_tokens: f64,
    /// When a site is doubted, lost and back.
    #[serde(default)]
    pub watch: WatchSettings,
    /// How a return is paced.
    #[serde(default)]
    pub ramp: RampSettings,
    /// The sites.
    pub site: Vec<Site>,
    /// The hosts.
    pub hosts: Vec<Hosts>,
    /// The links.
    #[serde(default)]
    pub links: Vec<Link>,
    /// The classes.
    pub classes: Vec<Class>,
    /// The tenants.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    /// The usual demand.
    pub demand: Vec<Demand>,
}

/// When a site is doubted, lost and back. Times in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WatchSettings {
    /// Failures to reach hosts of a site, with none reached since, that put its hosts in doubt.
    pub failures: u32,
    /// Hosts of a site count as reached for this long after the last one was.
    pub reached_ms: u64,
    /// A site in doubt for this long is lost.
    pub lost_after_ms: u64,
    /// All signs have to be good for this long before a lost site returns.
    pub hold_down_ms: u64,
    /// Most doublings of the hold-down, one for each loss during or soon after a return.
    pub most_doublings: u32,
    /// A site that was sound for this long has its losses forgotten.
    pub forget_ms: u64,
}

impl Default for WatchSettings {
    fn default() -> Self {
        WatchSettings {
            failures: 3,
            reached_ms: 1_000,
            lost_after_ms: 2_000,
            hold_down_ms: 5_000,
            most_doublings: 4,
            forget_ms: 600_000,
        }
    }
}

/// How a return is paced. Times in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RampSettings {
    /// Steps from nothing to the whole.
    pub steps: u16,
    /// A step that was good for this long has held.
    pub step_ms: u64,
    /// Most doublings of that time, one for each step back.
    pub most_doublings: u32,
    /// The part of what cold hosts bear that a step sends them at most.
    pub cold_part: f64,
    /// Most late first tokens, as a part of all, while a step is good.
    pub most_late: f64,
    /// Most requests turned away by the returning site's hosts, as a part of all, while a step is good.
    pub most_refused: f64,
    /// Fewer outcomes than this say nothing.
    pub few: u32,
    /// What is agreed is in force everywhere, or its conductor serves nothing, after this: the lease with its margins.
    pub agree_ms: u64,
}

impl Default for RampSettings {
    fn default() -> Self {
        RampSettings {
            steps: 8,
            step_ms: 3_000,
            most_doublings: 4,
            cold_part: 0.8,
            most_late: 0.2,
            most_refused: 0.05,
            few: 20,
            agree_ms: 1_000,
        }
    }
}

fn one() -> u32 {
    1
}
fn fill() -> f64 {
    0.9
}
fn hold_s() -> f64 {
    0.3
}
fn price_per_ms() -> f64 {
    0.002
}
fn price_per_1000_tokens() -> f64 {
    0.005
}

/// What a site can do when it is whole, warm and alone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Capacity {
    /// Prompt tokens a second that its readers read.
    pub prefill_tokens_per_s: f64,
    /// Tokens that its readers keep.
    pub prefill_memory_tokens: f64,
    /// Answer tokens a second that its writers stream.
    pub decode_tokens_per_s: f64,
    /// Tokens that its writers keep.
    pub decode_memory_tokens: f64,
    /// The same four of the hosts that do both; one of them does either at a time.
    pub mixed: [f64; 4],
    /// Seconds that a reader with all slots taken needs for a token, times its slots.
    pub prefill_slot_s_per_token: f64,
    /// Seconds between two tokens of a stream.
    pub stream_s_per_token: f64,
    /// The part of its capacity with which its coldest kind starts.
    pub cold_from: f64,
    /// Seconds until its slowest kind is warm.
    pub cold_s: f64,
}

/// A fleet as the plans see it: everything by number, in the order of the file.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// The tables.
    pub tables: Tables,
    /// For each site, what it can do.
    pub capacity: Vec<Capacity>,
    /// For each class, its worth.
    pub worth: Vec<f64>,
    /// The tenants' names; the first is nobody in particular.
    pub tenants: Vec<String>,
    /// For each tenant its guaranteed requests a second.
    pub guaranteed: Vec<f64>,
    /// Usual requests a second by class, tenant and site.
    pub demand: Vec<Vec<Vec<f64>>>,
    /// Tokens a second and delay in milliseconds from site to site; `None`: no link.
    pub links: Vec<Vec<Option<(f64, f64)>>>,
    /// A hash of all that the plans are made from: conductors whose files differ in it have other plans.
    pub fingerprint: u64,
}

#[derive(Deserialize)]
struct File {
    sites: Option<Tables>,
}

impl Fleet {
    /// Reads the `[sites]` tables of an operator's file; `settings` are the file's, for what the tables leave out.
    ///
    /// # Errors
    /// Names the row and the field at fault.
    pub fn from_toml(text: &str, settings: &ModuleSettings) -> Result<Self, SitesConfigError> {
        let file: File = toml::from_str(text).map_err(|e| {
            let line = e.span().map_or(0, |s| {
                text[..s.start.min(text.len())].lines().count().max(1)
            });
            SitesConfigError(format!("line {line}: {}", e.message().replace('\n', " ")))
        })?;
        let tables = file
            .sites
            .ok_or_else(|| SitesConfigError("the file has no [sites] tables".into()))?;
        Self::new(tables, settings)
    }

    /// Checks the tables and numbers what they name.
    ///
    /// # Errors
    /// Names the row and the field at fault.
    pub fn new(tables: Tables, settings: &ModuleSettings) -> Result<Self, SitesConfigError> {
        let fault = |what: String| Err(SitesConfigError(what));
        let lengths = [
            tables.site.len(),
            tables.hosts.len(),
            tables.classes.len(),
            tables.tenants.len(),
            tables.demand.len(),
        ];
        for ((name, most), length) in MOST.into_iter().zip(lengths) {
            if length > most {
                return fault(format!("{name}: {length} rows, at most {most} are allowed"));
            }
        }
        if tables.site.len() < 2 {
            return fault("site: at least two are needed".into());
        }
        let part = |name: &str, value: f64| {
            let fits = value > 0.0 && value <= 1.0;
            if fits {
                Ok(())
            } else {
                Err(SitesConfigError(format!(
                    "{name}: {value} is not within 0 to 1"
                )))
            }
        };
        part("fill", tables.fill)?;
        part("ramp.cold_part", tables.ramp.cold_part)?;
        let plain = |name: String, value: f64| {
            let fits = value.is_finite() && value >= 0.0;
            if fits {
                Ok(value)
            } else {
                Err(SitesConfigError(format!("{name}: {value} can't be used")))
            }
        };
        plain("hold_s".into(), tables.hold_s)?;
        plain("price_per_ms".into(), tables.price_per_ms)?;
        plain("price_per_1000_tokens".into(), tables.price_per_1000_tokens)?;
        if !(1..=100).contains(&tables.ramp.steps)
            || !(100..=600_000).contains(&tables.ramp.step_ms)
        {
            return fault("ramp: 1 to 100 steps of 100 ms to 10 minutes are needed".into());
        }
        unique("site", tables.site.iter().map(|s| s.name.as_str()))?;
        unique("classes", tables.classes.iter().map(|c| c.name.as_str()))?;
        unique("tenants", tables.tenants.iter().map(|t| t.name.as_str()))?;
        let n = tables.site.len();
        let site = |row: &str, name: &str| {
            let found = tables.site.iter().position(|s| s.name == name);
            found.ok_or_else(|| SitesConfigError(format!("{row}: there is no site {name:?}")))
        };
        for s in &tables.site {
            if s.routers == 0 {
                return fault(format!("site {}: conductors is 0", s.name));
            }
            for (to, parts) in &s.falls_to {
                if site(&format!("site {}: falls_to", s.name), to)? == site("site", &s.name)? {
                    return fault(format!("site {}: falls to itself", s.name));
                }
                plain(format!("site {}: falls_to.{to}", s.name), *parts)?;
            }
        }
        let mut capacity = vec![
            Capacity {
                cold_from: 1.0,
                ..Capacity::default()
            };
            n
        ];
        let mut weights = vec![[0.0_f64; 2]; n]; // slots of readers and of writers: to average their speeds
        for h in &tables.hosts {
            let row = format!("hosts {} at {}", h.kind, h.site);
            let at = site(&row, &h.site)?;
            let role = role(h, settings).map_err(SitesConfigError)?;
            let (reads, writes) = (role != Role::Decode, role != Role::Prefill);
            plain(format!("{row}: memory_tokens"), h.memory_tokens)?;
            plain(format!("{row}: tokens_per_s"), h.tokens_per_s)?;
            plain(format!("{row}: token_ms"), h.token_ms)?;
            if h.slots == 0 || h.memory_tokens == 0.0 {
                return fault(format!("{row}: slots and memory_tokens are needed"));
            }
            if reads && h.tokens_per_s <= 0.0 {
                return fault(format!("{row}: tokens_per_s is needed, they read"));
            }
            if writes && h.token_ms <= 0.0 {
                return fault(format!("{row}: token_ms is needed, they write"));
            }
            let count = f64::from(h.count);
            let slots = f64::from(h.slots);
            let read = if reads {
                [count * h.tokens_per_s, count * h.memory_tokens]
            } else {
                [0.0; 2]
            };
            let write = if writes {
                [count * slots * 1e3 / h.token_ms, count * h.memory_tokens]
            } else {
                [0.0; 2]
            };
            let c = &mut capacity[at];
            if role == Role::Mixed {
                for (sum, v) in c
                    .mixed
                    .iter_mut()
                    .zip([read[0], read[1], write[0], write[1]])
                {
                    *sum += v;
                }
            } else {
                c.prefill_tokens_per_s += read[0];
                c.prefill_memory_tokens += read[1];
                c.decode_tokens_per_s += write[0];
                c.decode_memory_tokens += write[1];
            }
            let w = &mut weights[at];
            if reads {
                w[0] += count * slots;
                c.prefill_slot_s_per_token += count * slots * slots / h.tokens_per_s;
            }
            if writes {
                w[1] += count * slots;
                c.stream_s_per_token += count * slots * h.token_ms / 1e3;
            }
            let from = h.cold_from.unwrap_or(if settings.slow_start_duration > 0 {
                settings.slow_start_initial_capacity
            } else {
                1.0
            });
            part(&format!("{row}: cold_from"), from)?;
            let cold_s = plain(
                format!("{row}: cold_s"),
                h.cold_s
                    .unwrap_or(settings.slow_start_duration as f64 / 1e6),
            )?;
            if cold_s > MOST_COLD_S {
                return fault(format!("{row}: cold_s: {cold_s} is over {MOST_COLD_S}"));
            }
            c.cold_from = c.cold_from.min(from);
            c.cold_s = c.cold_s.max(cold_s);
        }
        for (c, w) in capacity.iter_mut().zip(&weights) {
            c.prefill_slot_s_per_token /= w[0].max(1.0);
            c.stream_s_per_token /= w[1].max(1.0);
        }
        let mut worth = Vec::new();
        for c in &tables.classes {
            let row = format!("classes {}", c.name);
            let set = settings
                .classes
                .iter()
                .find(|s| s.name == c.name)
                .map(|s| s.priority_weight);
            let Some(w) = c.worth.or(set) else {
                return fault(format!(
                    "{row}: worth is missing, and settings.classes has none of that name"
                ));
            };
            worth.push(plain(format!("{row}: worth"), w)?);
            plain(format!("{row}: prompt_tokens"), c.prompt_tokens)?;
            plain(format!("{row}: answer_tokens"), c.answer_tokens)?;
            for (name, v) in [
                ("kept", c.kept),
                ("kept_moved", c.kept_moved.unwrap_or(0.0)),
            ] {
                if !(0.0..=1.0).contains(&v) {
                    return fault(format!("{row}: {name}: {v} is not within 0 to 1"));
                }
            }
        }
        let mut tenants = vec![String::new()];
        let mut guaranteed = vec![0.0];
        for t in &tables.tenants {
            if t.name.is_empty() {
                return fault("tenants: a name is empty".into());
            }
            tenants.push(t.name.clone());
            guaranteed.push(plain(
                format!("tenants {}: guaranteed_per_s", t.name),
                t.guaranteed_per_s,
            )?);
        }
        let mut demand = vec![vec![vec![0.0; n]; tenants.len()]; tables.classes.len()];
        for d in &tables.demand {
            let row = format!("demand of {} at {}", d.class, d.site);
            let class = tables.classes.iter().position(|c| c.name == d.class);
            let class =
                class.ok_or_else(|| SitesConfigError(format!("{row}: there is no such class")))?;
            let tenant = tenants.iter().position(|t| *t == d.tenant);
            let tenant = tenant.ok_or_else(|| {
                SitesConfigError(format!("{row}: there is no tenant {:?}", d.tenant))
            })?;
            demand[class][tenant][site(&row, &d.site)?] += plain(format!("{row}: per_s"), d.per_s)?;
        }
        let mut links = vec![vec![None; n]; n];
        for l in &tables.links {
            let row = format!("links {}-{}", l.between[0], l.between[1]);
            let (a, b) = (site(&row, &l.between[0])?, site(&row, &l.between[1])?);
            if a == b || links[a][b].is_some() {
                return fault(format!("{row}: there twice, or from a site to itself"));
            }
            let rate = plain(format!("{row}: tokens_per_s"), l.tokens_per_s)?;
            let delay = plain(format!("{row}: delay_ms"), l.delay_ms)?;
            links[a][b] = Some((rate, delay));
            links[b][a] = links[a][b];
        }
        let bytes =
            postcard::to_stdvec(&(&tables, &worth)).map_err(|e| SitesConfigError(e.to_string()))?;
        let fingerprint = xxhash_rust::xxh3::xxh3_64(&bytes);
        Ok(Fleet {
            tables,
            capacity,
            worth,
            tenants,
            guaranteed,
            demand,
            links,
            fingerprint,
        })
    }

    /// Number of sites.
    pub fn site_count(&self) -> usize {
        self.tables.site.len()
    }

    /// Number of classes.
    pub fn class_count(&self) -> usize {
        self.tables.classes.len()
    }

    /// The name of a site by its number.
    pub fn site_name(&self, site: usize) -> &str {
        &self.tables.site[site].name
    }

    /// The number of a site by its name.
    pub fn site_index(&self, name: &str) -> Option<usize> {
        self.tables.site.iter().position(|s| s.name == name)
    }

    /// The part of its capacity that a returning site bears this many seconds after its coldest host started.
    pub fn warm_share(&self, site: usize, seconds: f64) -> f64 {
        let c = &self.capacity[site];
        if seconds >= c.cold_s {
            1.0
        } else {
            c.cold_from + (1.0 - c.cold_from) * seconds / c.cold_s
        }
    }
}

fn unique<'a>(row: &str, names: impl Iterator<Item = &'a str>) -> Result<(), SitesConfigError> {
    let mut seen = std::collections::BTreeSet::new();
    for name in names {
        if name.is_empty() || !seen.insert(name) {
            return Err(SitesConfigError(format!(
                "{row}: the name {name:?} is empty or there twice"
            )));
        }
    }
    Ok(())
}

fn role(hosts: &Hosts, settings: &ModuleSettings) -> Result<Role, String> {
    match hosts.role.as_deref() {
        Some("read") => Ok(Role::Prefill),
        Some("write") => Ok(Role::Decode),
        Some("mixed") => Ok(Role::Mixed),
        Some(other) => Err(format!(
            "hosts {}: role {other:?} is none of read, write and mixed",
            hosts.kind
        )),
        None => settings
            .kinds
            .iter()
            .find(|k| k.name == hosts.kind)
            .map(|k| k.role)
            .ok_or_else(|| {
                format!(
                    "hosts {}: role is missing, and settings.skus has no such kind",
                    hosts.kind
                )
            }),
    }
}
