//! What a conductor is told at start: the platform's JSON, or an operator's TOML file of the same shape.

use crate::fleet::config::FleetConfig;
use crate::fleet::policy_content;
use crate::fleet::sites::describe::Fleet as Sites;
use crate::net::discovery::{ListMessage, Listing};
use crate::routing::types::RoutingConfig;
use crate::wire::read_settings;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

pub mod replacement;

use replacement::Document;

/// The longest result of a tool that fits into an entry of the fleet's log.
const MOST_RECORDED: usize = 80 * 1024;

/// Why a configuration can't be used; one line for the operators.
#[derive(Debug, thiserror::Error)]
#[error("configuration: {0}")]
pub struct ConfigError(pub String);

/// The machine's limits.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Memory over which the conductor is killed.
    pub memory_mb: usize,
    /// File descriptors, sockets of both sides included.
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            memory_mb: 192,
            sockets: 1024,
        }
    }
}

/// The tool-call front, in an operator's file only.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ToolSettings {
    /// Where the tool side listens.
    pub dial: SocketAddr,
    /// The path of its JSON-RPC endpoint.
    #[serde(default = "default_tool_path")]
    pub path: String,
    /// The path at which clients reach the front.
    #[serde(default = "default_rpc_path")]
    pub listen_path: String,
    /// How long a tool may take, connecting included.
    #[serde(default = "default_call_timeout")]
    pub call_timeout_ms: u64,
    /// The longest arguments.
    #[serde(default = "default_tool_bytes")]
    pub max_call_bytes: usize,
    /// The longest result.
    #[serde(default = "default_tool_bytes")]
    pub max_result_bytes: usize,
    /// Most calls of one request.
    #[serde(default = "default_calls")]
    pub max_calls: u32,
    /// Most calls out at once, over all requests: the tool side's sockets.
    #[serde(default = "default_calls_at_once")]
    pub max_calls_at_once: usize,
    /// How long an outcome is remembered after its call has ended.
    #[serde(default = "default_remember")]
    pub remember_s: u64,
    /// Most outcomes that are remembered.
    #[serde(default = "default_entries")]
    pub max_entries: usize,
    /// Bytes that remembered outcomes may take.
    #[serde(default = "default_ledger_bytes")]
    pub max_ledger_bytes: usize,
}

fn default_tool_path() -> String {
    "/".into()
}
fn default_rpc_path() -> String {
    "/rpc".into()
}
fn default_call_timeout() -> u64 {
    10_000
}
fn default_tool_bytes() -> usize {
    64 * 1024
}
fn default_calls() -> u32 {
    16
}
fn default_calls_at_once() -> usize {
    64
}
fn default_remember() -> u64 {
    900
}
fn default_entries() -> usize {
    10_000
}
fn default_ledger_bytes() -> usize {
    16 * 1024 * 1024
}

impl ToolSettings {
    /// How long a tool may take.
    pub fn call_timeout(&self) -> Duration {
        Duration::from_millis(self.call_timeout_ms)
    }
}

#[derive(Deserialize)]
struct Raw {
    #[serde(default)]
    name: String,
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    ops: Option<SocketAddr>,
    #[serde(default)]
    seed: Value,
    #[serde(default)]
    limits: Limits,
    known: Option<ListMessage>,
    settings: Value,
    tools: Option<ToolSettings>,
    fleet: Option<Value>,
    store: Option<Value>,
    takeover: Option<Value>,
    policy: Option<Value>,
    sites: Option<Value>,
}

/// A conductor's configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Discovery; without one the known list stands.
    pub discovery: Option<SocketAddr>,
    /// Where operators connect; nowhere without it.
    pub ops: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// The machine's limits.
    pub limits: Limits,
    /// The model hosts as last held; may be old.
    pub known: Listing,
    /// The module's settings.
    pub settings: RoutingConfig,
    /// The table they were read from.
    pub settings_table: Value,
    /// The whole file, for its replacement to be compared with.
    pub document: Document,
    /// When model hosts close idle connections.
    pub idle_close: Duration,
    /// The tool-call front, if configured.
    pub tools: Option<ToolSettings>,
    /// The fleet that this conductor is a member of, if configured; in an operator's file only.
    pub fleet: Option<FleetConfig>,
    /// What the plans for the loss of a site are made from; in a fleet only.
    pub sites: Option<Sites>,
}

impl Config {
    /// Reads the platform's form. Fields of the environment stand in for absent ones.
    ///
    /// # Errors
    /// Names the field at fault.
    pub fn from_json(
        text: &str,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        let mut value: Value =
            serde_json::from_str(text).map_err(|e| ConfigError(e.to_string()))?;
        // Conductors on the platform share nothing, whatever it says.
        if let Some(fields) = value.as_object_mut() {
            fields.remove("fleet");
            fields.remove("store");
            fields.remove("takeover");
            fields.remove("policy");
            fields.remove("sites");
        }
        Self::from_document(
            Document {
                table: value,
                is_terminated: true,
            },
            env,
        )
    }

    /// Reads an operator's file: the same shape, written as TOML.
    ///
    /// # Errors
    /// Names the field at fault.
    pub fn from_toml(text: &str) -> Result<Self, ConfigError> {
        let value = toml::from_str(text).map_err(|e| {
            let line = e.span().map_or(0, |s| {
                text[..s.start.min(text.len())].lines().count().max(1)
            });
            ConfigError(format!("line {line}: {}", e.message().replace('\n', " ")))
        })?;
        Self::from_document(
            Document {
                table: value,
                is_terminated: text.ends_with('\n'),
            },
            |_| None,
        )
    }

    /// The fields in which another configuration differs and that count at a start only.
    pub fn differences(&self, other: &Config) -> Vec<&'static str> {
        let [a, b] = [self, other];
        let all = [
            ("name", a.name != b.name),
            ("listen", a.listen != b.listen),
            ("ops", a.ops != b.ops),
            ("limits", a.limits != b.limits),
            (
                "settings.permissions.idle_close_us",
                a.idle_close != b.idle_close,
            ),
            ("tools", a.tools != b.tools),
            ("fleet", a.fleet != b.fleet),
            ("sites", a.sites != b.sites),
        ];
        let fixed = replacement::fixed_differences(&a.settings, &b.settings);
        all.into_iter()
            .chain(fixed)
            .filter(|(_, differs)| *differs)
            .map(|(name, _)| name)
            .collect()
    }

    fn from_document(
        document: Document,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        let raw = Raw::deserialize(&document.table).map_err(|e| ConfigError(e.to_string()))?;
        let address = |given: Option<SocketAddr>, name: &str| match (given, env(name)) {
            (Some(address), _) => Ok(Some(address)),
            (None, Some(text)) => text
                .parse()
                .map(Some)
                .map_err(|_| ConfigError(format!("{name}: not an address: {text:?}"))),
            (None, None) => Ok(None),
        };
        let listen = address(raw.listen, "NODE_LISTEN")?
            .ok_or_else(|| ConfigError("listen is missing".into()))?;
        let discovery = address(raw.discovery, "NODE_DISCOVERY")?;
        let ops = address(raw.ops, "NODE_OPS")?;
        let mut pairs = Vec::new();
        flatten("", &raw.settings, &mut pairs);
        let settings = read_settings(pairs.iter().map(|(k, v)| (k.as_str(), v.as_str())))
            .map_err(ConfigError)?;
        let idle = pairs.iter().find(|(k, _)| k == "permissions.idle_close_us");
        let idle = idle
            .and_then(|(_, v)| v.parse::<f64>().ok())
            .filter(|v| *v > 0.0 && v.is_finite());
        let seed = match &raw.seed {
            Value::String(hex) => u64::from_str_radix(hex, 16)
                .map_err(|_| ConfigError(format!("seed: not a hexadecimal number: {hex:?}")))?,
            other => other.as_u64().unwrap_or(0),
        };
        if raw.limits.memory_mb < 32 {
            return Err(ConfigError(
                "limits.memory_mb: at least 32 are needed".into(),
            ));
        }
        let name = if raw.name.is_empty() {
            env("NODE_NAME").unwrap_or_default()
        } else {
            raw.name
        };
        let fleet = FleetConfig::read(
            &name,
            raw.fleet,
            raw.store,
            raw.takeover,
            raw.policy,
            &raw.limits,
        )?;
        if fleet.as_ref().is_some_and(|f| f.policy.is_some()) {
            let read = policy_content::take(&raw.settings)
                .and_then(|(content, _)| policy_content::read(&content, &raw.settings));
            read.map_err(|e| ConfigError(format!("settings: {e}")))?;
        }
        let recorded = fleet.as_ref().is_some_and(|f| f.takeover.is_some());
        if let Some(tools) = raw
            .tools
            .as_ref()
            .filter(|t| recorded && t.max_result_bytes > MOST_RECORDED)
        {
            let what = format!(
                "{} is above {MOST_RECORDED}, the most that [takeover] can record",
                tools.max_result_bytes
            );
            return Err(ConfigError(format!("tools.max_result_bytes: {what}")));
        }
        let sites = match (&fleet, raw.sites) {
            (Some(fleet), Some(tables)) => {
                let tables = serde_json::from_value(tables)
                    .map_err(|e| ConfigError(format!("sites: {e}")))?;
                let sites =
                    Sites::new(tables, &settings).map_err(|e| ConfigError(e.to_string()))?;
                if sites.site_index(fleet.site.as_str()).is_none() {
                    let what = format!(
                        "fleet.site: {} is not among [[sites.site]]",
                        fleet.site.as_str()
                    );
                    return Err(ConfigError(what));
                }
                Some(sites)
            }
            _ => None,
        };
        Ok(Config {
            name,
            fleet,
            sites,
            listen,
            discovery,
            ops,
            seed,
            limits: raw.limits,
            known: raw.known.map(Listing::from).unwrap_or_default(),
            settings,
            settings_table: raw.settings,
            document,
            idle_close: Duration::from_micros(idle.unwrap_or(30e6) as u64),
            tools: raw.tools,
        })
    }
}

/// Reads a table of settings as an operator's file has it.
///
/// # Errors
/// Names the field at fault.
pub(crate) fn read_table(settings: &Value) -> Result<RoutingConfig, String> {
    let mut pairs = Vec::new();
    flatten("", settings, &mut pairs);
    read_settings(pairs.iter().map(|(k, v)| (k.as_str(), v.as_str())))
}

/// Writes nested JSON as the paths and values of the simulator's first message, for its one reader: a list of
/// objects as `.count` and numbered items, a list of plain values joined by commas.
fn flatten(path: &str, value: &Value, out: &mut Vec<(String, String)>) {
    let join = |key: &str| {
        if path.is_empty() {
            key.to_owned()
        } else {
            format!("{path}.{key}")
        }
    };
    let plain = |v: &Value| match v {
        Value::String(s) => s.replace([' ', ','], "_"),
        Value::Null => String::new(),
        other => other.to_string(),
    };
    match value {
        Value::Null => {}
        Value::Object(fields) => fields.iter().for_each(|(k, v)| flatten(&join(k), v, out)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            out.push((join("count"), items.len().to_string()));
            items
                .iter()
                .enumerate()
                .for_each(|(i, v)| flatten(&join(&i.to_string()), v, out));
        }
        Value::Array(items) => {
            out.push((
                path.to_owned(),
                items.iter().map(plain).collect::<Vec<_>>().join(","),
            ));
        }
        plain_value => out.push((path.to_owned(), plain(plain_value))),
    }
}

#[cfg(test)]
mod tests;
