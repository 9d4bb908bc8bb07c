//! The `[sites]` tables of an operator's configuration file: sites, model hosts, links, usual demand and guaranteed
//! rates.

use crate::routing::types::{Role, RoutingConfig};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of rows of each table.
const MAX_ROWS: [(&str, usize); 5] = [
    ("site", 16),
    ("hosts", 256),
    ("classes", 32),
    ("tenants", 128),
    ("demand", 4096),
];

/// Longest warm-up time of a host, in seconds. It bounds the number of steps of a return.
const MAX_COLD_S: f64 = 1_800.0;

/// The `[sites]` tables are invalid. The text is one line that names the row and the field.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("sites: {0}")]
pub struct SitesConfigError(pub String);

/// A site: routers and model hosts that can be lost together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// The name, which is the zone of its model hosts and the site of its routers.
    pub name: String,
    /// Number of routers at the site. Each router takes an equal part of what the plan gives the site.
    #[serde(rename = "conductors", default = "default_routers")]
    pub routers: u32,
    /// Sites that take over the clients of this one while its routers are lost, with their weights; empty: all other
    /// sites alike.
    #[serde(rename = "falls_to", default)]
    pub failover_weights: BTreeMap<String, f64>,
}

/// Model hosts of one kind at one site.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hosts {
    /// Name of the site, as in [`Site::name`].
    pub site: String,
    /// Name of the kind, as in `settings.skus`.
    pub kind: String,
    /// `read` (prefill), `write` (decode) or `mixed`; if absent, the role that the settings give the kind.
    #[serde(default)]
    pub role: Option<String>,
    /// Number of hosts of this kind at the site when all are in service.
    pub count: u32,
    /// Number of requests that one host can process at the same time; greater than 0.
    pub slots: u32,
    /// Memory per host, in tokens of KV state.
    pub memory_tokens: f64,
    /// Prompt tokens per second of one prefill worker, all slots together.
    #[serde(default)]
    pub tokens_per_s: f64,
    /// Milliseconds between two tokens of a stream at a decode worker with all slots in use.
    #[serde(default)]
    pub token_ms: f64,
    /// Share of its capacity that a host has right after its start; if absent, `settings.rules` decides.
    #[serde(default)]
    pub cold_from: Option<f64>,
    /// Seconds until a started host has its full capacity; if absent, `settings.rules` decides.
    #[serde(default)]
    pub cold_s: Option<f64>,
}

/// A network link between two sites, with the same rate and delay in both directions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// Names of the two sites.
    pub between: [String; 2],
    /// Tokens of KV state per second, in each direction.
    pub tokens_per_s: f64,
    /// One-way network delay between the two sites, in milliseconds.
    pub delay_ms: f64,
}

/// The usual request of a class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class, as in `settings.classes`.
    pub name: String,
    /// Length of the prompt in tokens, including the cached part.
    pub prompt_tokens: f64,
    /// Share of the prompt that a prefill worker usually has cached.
    #[serde(default)]
    pub kept: f64,
    /// The same for clients whose requests move to another site; if absent, half of `kept`.
    #[serde(default)]
    pub kept_moved: Option<f64>,
    /// Length of the answer in tokens.
    pub answer_tokens: f64,
    /// Worth of one request, relative to other classes; if absent, the priority weight of the class in the settings.
    #[serde(default)]
    pub worth: Option<f64>,
}

/// A tenant with a guaranteed rate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Name of the tenant, which [`Demand::tenant`] refers to; not empty, and unique in the file.
    pub name: String,
    /// Guaranteed requests per second over all classes and sites. They are the last to be refused.
    pub guaranteed_per_s: f64,
}

/// Usual demand of one class and tenant at one site.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Demand {
    /// Name of the class, as in [`Class::name`].
    pub class: String,
    /// Name of the tenant; empty or absent: clients without a tenant.
    #[serde(default)]
    pub tenant: String,
    /// Name of the site whose routers these clients connect to.
    pub site: String,
    /// Requests per second; rows with the same class, tenant and site are added up.
    pub per_s: f64,
}

/// The `[sites]` tables as written by the operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tables {
    /// Share of each limit that a plan uses at most.
    #[serde(default = "default_fill")]
    pub fill: f64,
    /// Seconds that KV state waits at the prefill worker until a decode worker fetches it.
    #[serde(default = "default_hold_s")]
    pub hold_s: f64,
    /// Worth that a request loses per millisecond of network delay between sites.
    #[serde(default = "default_price_per_ms")]
    pub price_per_ms: f64,
    /// Worth that a request loses per 1,000 tokens of KV state sent over a link.
    #[serde(default = "default_price_per_1000_tokens")]
    pub price_per_1000_tokens: f64,
    /// When a site counts as suspect, lost and recovered.
    #[serde(default)]
    pub watch: WatchSettings,
    /// How a return is paced.
    #[serde(default)]
    pub ramp: RampSettings,
    /// The sites, at least two. Their order in the file gives each site its index.
    pub site: Vec<Site>,
    /// The model hosts, by site and kind.
    pub hosts: Vec<Hosts>,
    /// The links; sites without a link can't exchange KV state.
    #[serde(default)]
    pub links: Vec<Link>,
    /// The request classes. Their order in the file gives each class its index.
    pub classes: Vec<Class>,
    /// The tenants with a guaranteed rate.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    /// Usual demand by class, tenant and site; a combination without a row has none.
    pub demand: Vec<Demand>,
}

/// When a site counts as suspect, lost and recovered. Times in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WatchSettings {
    /// Consecutive failures to reach any host of a site after which its hosts count as not reachable.
    pub failures: u32,
    /// A site's hosts count as reachable for this long after one was last reached.
    pub reached_ms: u64,
    /// A site that is suspect for this long is lost.
    pub lost_after_ms: u64,
    /// All signals must be good for this long before a lost site starts to return.
    pub hold_down_ms: u64,
    /// Maximum number of doublings of `hold_down_ms`: one for each loss during or soon after a return.
    #[serde(rename = "most_doublings")]
    pub max_doublings: u32,
    /// After a site was healthy for this long, its earlier losses no longer lengthen the hold-down.
    pub forget_ms: u64,
}

impl Default for WatchSettings {
    fn default() -> Self {
        WatchSettings {
            failures: 3,
            reached_ms: 1_000,
            lost_after_ms: 2_000,
            hold_down_ms: 5_000,
            max_doublings: 4,
            forget_ms: 600_000,
        }
    }
}

/// How the load of a returning site is paced. Times in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RampSettings {
    /// Number of steps from no load to the full load.
    pub steps: u16,
    /// A step that stays within the allowed shares for this long is confirmed.
    pub step_ms: u64,
    /// Maximum number of doublings of `step_ms`, one for each step back.
    #[serde(rename = "most_doublings")]
    pub max_doublings: u32,
    /// Share of the capacity of hosts that are still warming up that a step may use.
    pub cold_part: f64,
    /// Maximum share of late first tokens while a step counts as good.
    #[serde(rename = "most_late")]
    pub max_late_share: f64,
    /// Maximum share of requests that the returning site's hosts refuse while a step counts as good.
    #[serde(rename = "most_refused")]
    pub max_refused_share: f64,
    /// Minimum number of outcomes; with fewer, a step is not judged.
    #[serde(rename = "few")]
    pub min_outcomes: u32,
    /// Time after which a committed change is in force at every router, or the router has lost its right to act: the
    /// lease duration with its safety margins.
    pub agree_ms: u64,
}

impl Default for RampSettings {
    fn default() -> Self {
        RampSettings {
            steps: 8,
            step_ms: 3_000,
            max_doublings: 4,
            cold_part: 0.8,
            max_late_share: 0.2,
            max_refused_share: 0.05,
            min_outcomes: 20,
            agree_ms: 1_000,
        }
    }
}

fn default_routers() -> u32 {
    1
}
fn default_fill() -> f64 {
    0.9
}
fn default_hold_s() -> f64 {
    0.3
}
fn default_price_per_ms() -> f64 {
    0.002
}
fn default_price_per_1000_tokens() -> f64 {
    0.005
}

/// Capacity of a site with all hosts in service and warm.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Capacity {
    /// Prompt tokens per second of its prefill workers.
    pub prefill_tokens_per_s: f64,
    /// Memory of its prefill workers, in tokens of KV state.
    pub prefill_memory_tokens: f64,
    /// Answer tokens per second of its decode workers.
    pub decode_tokens_per_s: f64,
    /// Memory of its decode workers, in tokens of KV state.
    pub decode_memory_tokens: f64,
    /// The same four figures of the hosts that do both stages; such a host works on one stage at a time.
    pub mixed: [f64; 4],
    /// Seconds per prompt token of one request at a prefill worker with all slots in use, on average.
    pub prefill_slot_s_per_token: f64,
    /// Seconds between two tokens of a stream at a decode worker with all slots in use, on average.
    pub stream_s_per_token: f64,
    /// Lowest start-up capacity share among its kinds of hosts.
    pub cold_from: f64,
    /// Longest warm-up time among its kinds of hosts, in seconds.
    pub cold_s: f64,
}

/// The fleet in the form that plans are computed from. Sites, classes and tenants are identified by index, in the
/// order of the configuration file.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// The tables that everything else is derived from.
    pub tables: Tables,
    /// Capacity of each site with all its hosts in service and warm.
    pub capacity: Vec<Capacity>,
    /// Worth of one request of each class.
    pub worth: Vec<f64>,
    /// Names of the tenants. Index 0 has an empty name and stands for clients without a tenant.
    pub tenants: Vec<String>,
    /// Guaranteed requests per second of each tenant.
    pub guaranteed: Vec<f64>,
    /// Usual requests per second by class, tenant and site.
    pub demand: Vec<Vec<Vec<f64>>>,
    /// Rate in tokens per second and delay in milliseconds from one site to another; `None` if there is no link.
    pub links: Vec<Vec<Option<(f64, f64)>>>,
    /// Hash of everything that plans are computed from. Routers whose fingerprints differ have different plans.
    pub fingerprint: u64,
}

#[derive(Deserialize)]
struct File {
    sites: Option<Tables>,
}

impl Fleet {
    /// Reads the `[sites]` tables of a configuration file. `settings` are the settings in the same file; they fill in
    /// what the tables leave out.
    ///
    /// # Errors
    /// The text names the row and the field that is invalid.
    pub fn from_toml(text: &str, settings: &RoutingConfig) -> Result<Self, SitesConfigError> {
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

    /// Validates the tables and resolves names to indexes.
    ///
    /// # Errors
    /// The text names the row and the field that is invalid.
    pub fn new(tables: Tables, settings: &RoutingConfig) -> Result<Self, SitesConfigError> {
        let error = |text: String| Err(SitesConfigError(text));
        let lengths = [
            tables.site.len(),
            tables.hosts.len(),
            tables.classes.len(),
            tables.tenants.len(),
            tables.demand.len(),
        ];
        for ((name, max), length) in MAX_ROWS.into_iter().zip(lengths) {
            if length > max {
                return error(format!(
                    "{name}: {length} rows, but at most {max} are allowed"
                ));
            }
        }
        if tables.site.len() < 2 {
            return error("site: at least two [[sites.site]] tables are needed".into());
        }
        let check_share = |name: &str, value: f64| {
            let valid = value > 0.0 && value <= 1.0;
            if valid {
                Ok(())
            } else {
                Err(SitesConfigError(format!(
                    "{name}: {value} must be greater than 0 and at most 1"
                )))
            }
        };
        check_share("fill", tables.fill)?;
        check_share("ramp.cold_part", tables.ramp.cold_part)?;
        let check_amount = |name: String, value: f64| {
            let valid = value.is_finite() && value >= 0.0;
            if valid {
                Ok(value)
            } else {
                Err(SitesConfigError(format!(
                    "{name}: {value} must be finite and not negative"
                )))
            }
        };
        check_amount("hold_s".into(), tables.hold_s)?;
        check_amount("price_per_ms".into(), tables.price_per_ms)?;
        check_amount("price_per_1000_tokens".into(), tables.price_per_1000_tokens)?;
        if !(1..=100).contains(&tables.ramp.steps)
            || !(100..=600_000).contains(&tables.ramp.step_ms)
        {
            return error("ramp: steps must be 1 to 100 and step_ms 100 to 600000".into());
        }
        check_unique("site", tables.site.iter().map(|s| s.name.as_str()))?;
        check_unique("classes", tables.classes.iter().map(|c| c.name.as_str()))?;
        check_unique("tenants", tables.tenants.iter().map(|t| t.name.as_str()))?;
        let sites = tables.site.len();
        let index_of = |row: &str, name: &str| {
            let index = tables.site.iter().position(|s| s.name == name);
            index.ok_or_else(|| {
                SitesConfigError(format!(
                    "{row}: no [[sites.site]] table has the name {name:?}"
                ))
            })
        };
        for s in &tables.site {
            if s.routers == 0 {
                return error(format!("site {}: conductors must be at least 1", s.name));
            }
            for (to, weight) in &s.failover_weights {
                if index_of(&format!("site {}: falls_to", s.name), to)?
                    == index_of("site", &s.name)?
                {
                    return error(format!("site {}: falls_to names the site itself", s.name));
                }
                check_amount(format!("site {}: falls_to.{to}", s.name), *weight)?;
            }
        }
        let mut capacity = vec![
            Capacity {
                cold_from: 1.0,
                ..Capacity::default()
            };
            sites
        ];
        let mut slot_counts = vec![[0.0_f64; 2]; sites]; // prefill and decode slots, to average their speeds
        for h in &tables.hosts {
            let row = format!("hosts {} at {}", h.kind, h.site);
            let site = index_of(&row, &h.site)?;
            let role = role_of(h, settings).map_err(SitesConfigError)?;
            let (prefills, decodes) = (role != Role::Decode, role != Role::Prefill);
            check_amount(format!("{row}: memory_tokens"), h.memory_tokens)?;
            check_amount(format!("{row}: tokens_per_s"), h.tokens_per_s)?;
            check_amount(format!("{row}: token_ms"), h.token_ms)?;
            if h.slots == 0 || h.memory_tokens == 0.0 {
                return error(format!(
                    "{row}: slots and memory_tokens must be greater than 0"
                ));
            }
            if prefills && h.tokens_per_s <= 0.0 {
                return error(format!(
                    "{row}: tokens_per_s must be greater than 0 for hosts that prefill"
                ));
            }
            if decodes && h.token_ms <= 0.0 {
                return error(format!(
                    "{row}: token_ms must be greater than 0 for hosts that decode"
                ));
            }
            let count = f64::from(h.count);
            let slots = f64::from(h.slots);
            let prefill = if prefills {
                [count * h.tokens_per_s, count * h.memory_tokens]
            } else {
                [0.0; 2]
            };
            let decode = if decodes {
                [count * slots * 1e3 / h.token_ms, count * h.memory_tokens]
            } else {
                [0.0; 2]
            };
            let c = &mut capacity[site];
            if role == Role::Mixed {
                for (sum, v) in c
                    .mixed
                    .iter_mut()
                    .zip([prefill[0], prefill[1], decode[0], decode[1]])
                {
                    *sum += v;
                }
            } else {
                c.prefill_tokens_per_s += prefill[0];
                c.prefill_memory_tokens += prefill[1];
                c.decode_tokens_per_s += decode[0];
                c.decode_memory_tokens += decode[1];
            }
            let slot_sums = &mut slot_counts[site];
            if prefills {
                slot_sums[0] += count * slots;
                c.prefill_slot_s_per_token += count * slots * slots / h.tokens_per_s;
            }
            if decodes {
                slot_sums[1] += count * slots;
                c.stream_s_per_token += count * slots * h.token_ms / 1e3;
            }
            let cold_from = h.cold_from.unwrap_or(if settings.slow_start_duration > 0 {
                settings.slow_start_initial_capacity
            } else {
                1.0
            });
            check_share(&format!("{row}: cold_from"), cold_from)?;
            let cold_s = check_amount(
                format!("{row}: cold_s"),
                h.cold_s
                    .unwrap_or(settings.slow_start_duration as f64 / 1e6),
            )?;
            if cold_s > MAX_COLD_S {
                return error(format!(
                    "{row}: cold_s: {cold_s} is more than {MAX_COLD_S} s"
                ));
            }
            c.cold_from = c.cold_from.min(cold_from);
            c.cold_s = c.cold_s.max(cold_s);
        }
        for (c, slot_sums) in capacity.iter_mut().zip(&slot_counts) {
            c.prefill_slot_s_per_token /= slot_sums[0].max(1.0);
            c.stream_s_per_token /= slot_sums[1].max(1.0);
        }
        let mut worth = Vec::new();
        for c in &tables.classes {
            let row = format!("classes {}", c.name);
            let default_worth = settings
                .classes
                .iter()
                .find(|s| s.name == c.name)
                .map(|s| s.priority_weight);
            let Some(class_worth) = c.worth.or(default_worth) else {
                return error(format!(
                    "{row}: worth is missing, and settings.classes has no class of this name to take it from"
                ));
            };
            worth.push(check_amount(format!("{row}: worth"), class_worth)?);
            check_amount(format!("{row}: prompt_tokens"), c.prompt_tokens)?;
            check_amount(format!("{row}: answer_tokens"), c.answer_tokens)?;
            for (name, v) in [
                ("kept", c.kept),
                ("kept_moved", c.kept_moved.unwrap_or(0.0)),
            ] {
                if !(0.0..=1.0).contains(&v) {
                    return error(format!("{row}: {name}: {v} must be from 0 to 1"));
                }
            }
        }
        let mut tenants = vec![String::new()];
        let mut guaranteed = vec![0.0];
        for t in &tables.tenants {
            if t.name.is_empty() {
                return error("tenants: name must not be empty".into());
            }
            tenants.push(t.name.clone());
            guaranteed.push(check_amount(
                format!("tenants {}: guaranteed_per_s", t.name),
                t.guaranteed_per_s,
            )?);
        }
        let mut demand = vec![vec![vec![0.0; sites]; tenants.len()]; tables.classes.len()];
        for d in &tables.demand {
            let row = format!("demand of {} at {}", d.class, d.site);
            let class = tables.classes.iter().position(|c| c.name == d.class);
            let class = class.ok_or_else(|| {
                SitesConfigError(format!(
                    "{row}: no [[sites.classes]] table has this class name"
                ))
            })?;
            let tenant = tenants.iter().position(|t| *t == d.tenant);
            let tenant = tenant.ok_or_else(|| {
                SitesConfigError(format!(
                    "{row}: no [[sites.tenants]] table has the name {:?}",
                    d.tenant
                ))
            })?;
            demand[class][tenant][index_of(&row, &d.site)?] +=
                check_amount(format!("{row}: per_s"), d.per_s)?;
        }
        let mut links = vec![vec![None; sites]; sites];
        for l in &tables.links {
            let row = format!("links {}-{}", l.between[0], l.between[1]);
            let (a, b) = (
                index_of(&row, &l.between[0])?,
                index_of(&row, &l.between[1])?,
            );
            if a == b || links[a][b].is_some() {
                return error(format!(
                    "{row}: the link is listed twice or connects a site to itself"
                ));
            }
            let rate = check_amount(format!("{row}: tokens_per_s"), l.tokens_per_s)?;
            let delay = check_amount(format!("{row}: delay_ms"), l.delay_ms)?;
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

    /// Number of sites; their indexes run from 0.
    pub fn site_count(&self) -> usize {
        self.tables.site.len()
    }

    /// Number of classes; their indexes run from 0.
    pub fn class_count(&self) -> usize {
        self.tables.classes.len()
    }

    /// Name of a site. Panics if the index is out of range.
    pub fn site_name(&self, site: usize) -> &str {
        &self.tables.site[site].name
    }

    /// Index of a site by its name.
    pub fn site_index(&self, name: &str) -> Option<usize> {
        self.tables.site.iter().position(|s| s.name == name)
    }

    /// Share of its capacity that a site has this many seconds after all its hosts started.
    pub fn warm_share(&self, site: usize, seconds: f64) -> f64 {
        let c = &self.capacity[site];
        if seconds >= c.cold_s {
            1.0
        } else {
            c.cold_from + (1.0 - c.cold_from) * seconds / c.cold_s
        }
    }
}

fn check_unique<'a>(
    row: &str,
    names: impl Iterator<Item = &'a str>,
) -> Result<(), SitesConfigError> {
    let mut seen = std::collections::BTreeSet::new();
    for name in names {
        if name.is_empty() || !seen.insert(name) {
            return Err(SitesConfigError(format!(
                "{row}: the name {name:?} is empty or used twice"
            )));
        }
    }
    Ok(())
}

fn role_of(hosts: &Hosts, settings: &RoutingConfig) -> Result<Role, String> {
    match hosts.role.as_deref() {
        Some("read") => Ok(Role::Prefill),
        Some("write") => Ok(Role::Decode),
        Some("mixed") => Ok(Role::Mixed),
        Some(other) => Err(format!(
            "hosts {}: role {other:?} must be read, write or mixed",
            hosts.kind
        )),
        None => settings
            .kinds
            .iter()
            .find(|k| k.name == hosts.kind)
            .map(|k| k.role)
            .ok_or_else(|| {
                format!(
                    "hosts {}: role is missing, and settings.skus has no kind of this name to take it from",
                    hosts.kind
                )
            }),
    }
}
