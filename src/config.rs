//! Configuration of a router: the platform's JSON file, or an operator's TOML file with the same structure.

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

/// Largest tool result, in bytes, that fits into one entry of the fleet's log.
const MAX_RECORDED_RESULT_BYTES: usize = 80 * 1024;

/// The configuration is invalid. The text is one line that names the field, its value and the fault.
#[derive(Debug, thiserror::Error)]
#[error("configuration: {0}")]
pub struct ConfigError(pub String);

/// Resource limits of the process, set by the machine that it runs on.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Memory in MiB above which the machine kills the router.
    pub memory_mb: usize,
    /// File descriptors that the router may open, including the sockets of clients and of model hosts.
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

/// The tool-call frontend; only an operator's file can configure it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ToolSettings {
    /// Address of the tool server.
    pub dial: SocketAddr,
    /// Path of the tool server's JSON-RPC endpoint.
    #[serde(default = "default_tool_path")]
    pub path: String,
    /// Path at which clients reach the frontend.
    #[serde(default = "default_rpc_path")]
    pub listen_path: String,
    /// Timeout of one tool call in milliseconds, including the time to connect.
    #[serde(default = "default_call_timeout")]
    pub call_timeout_ms: u64,
    /// Largest arguments of one tool call, in bytes.
    #[serde(default = "default_tool_bytes")]
    pub max_call_bytes: usize,
    /// Largest result of one tool call, in bytes.
    #[serde(default = "default_tool_bytes")]
    pub max_result_bytes: usize,
    /// Maximum number of tool calls of one request.
    #[serde(default = "default_calls")]
    pub max_calls: u32,
    /// Maximum number of concurrent tool calls over all requests, which bounds the sockets to the tool server.
    #[serde(default = "default_calls_at_once")]
    pub max_calls_at_once: usize,
    /// Seconds for which the ledger keeps the outcome of a call after the call has ended.
    #[serde(default = "default_remember")]
    pub remember_s: u64,
    /// Maximum number of outcomes in the ledger.
    #[serde(default = "default_entries")]
    pub max_entries: usize,
    /// Maximum size of all outcomes in the ledger, in bytes.
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
    /// Timeout of one tool call, including the time to connect.
    pub fn call_timeout(&self) -> Duration {
        Duration::from_millis(self.call_timeout_ms)
    }
}

#[derive(Deserialize)]
struct RawConfig {
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

/// The validated configuration of a router.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the router; empty if neither the file nor the environment names it.
    pub name: String,
    /// Address at which the router accepts clients.
    pub listen: SocketAddr,
    /// Address of the discovery service. `None`: the list in `known` is used and never updated.
    pub discovery: Option<SocketAddr>,
    /// Address of the admin endpoint. `None`: there is no admin endpoint.
    pub ops: Option<SocketAddr>,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Resource limits of the process.
    pub limits: Limits,
    /// Model hosts known when the file was written; the list may be outdated.
    pub known: Listing,
    /// Routing settings, parsed from `settings_table`.
    pub settings: RoutingConfig,
    /// The file's `settings` table.
    pub settings_table: Value,
    /// The complete file, with which a replacement is compared at a reload.
    pub document: Document,
    /// Idle time after which model hosts close a connection.
    pub idle_close: Duration,
    /// The tool-call frontend. `None`: it is disabled.
    pub tools: Option<ToolSettings>,
    /// The fleet that this router is a member of. `None`: it is in no fleet, as always with the platform's file.
    pub fleet: Option<FleetConfig>,
    /// Input of the plans for the loss of a site. `None`: there are no plans, as always outside of a fleet.
    pub sites: Option<Sites>,
}

impl Config {
    /// Parses the platform's JSON file. Absent addresses and an empty name are read from environment variables.
    ///
    /// # Errors
    /// The text or a field is invalid; the error names the field.
    pub fn from_json(
        text: &str,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        let mut value: Value =
            serde_json::from_str(text).map_err(|e| ConfigError(e.to_string()))?;
        // Routers on the platform share no state, so tables of a fleet are ignored.
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

    /// Parses an operator's TOML file, which has the same structure as the platform's JSON file.
    ///
    /// # Errors
    /// The text or a field is invalid; the error names the line or the field.
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

    /// Names of the fields that differ from another configuration and take effect only at a restart.
    pub fn differences(&self, other: &Config) -> Vec<&'static str> {
        let [a, b] = [self, other];
        let top_level = [
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
        let settings = replacement::fixed_differences(&a.settings, &b.settings);
        top_level
            .into_iter()
            .chain(settings)
            .filter(|(_, differs)| *differs)
            .map(|(name, _)| name)
            .collect()
    }

    fn from_document(
        document: Document,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        let raw =
            RawConfig::deserialize(&document.table).map_err(|e| ConfigError(e.to_string()))?;
        let address = |given: Option<SocketAddr>, name: &str| match (given, env(name)) {
            (Some(address), _) => Ok(Some(address)),
            (None, Some(text)) => text.parse().map(Some).map_err(|_| {
                ConfigError(format!(
                    "{name}: {text:?} is not an address; expected IP:PORT"
                ))
            }),
            (None, None) => Ok(None),
        };
        let listen = address(raw.listen, "NODE_LISTEN")?.ok_or_else(|| {
            ConfigError("listen is missing: set it, or NODE_LISTEN, to IP:PORT".into())
        })?;
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
            Value::String(hex) => u64::from_str_radix(hex, 16).map_err(|_| {
                ConfigError(format!(
                    "seed: {hex:?} is not a hexadecimal number of up to 16 digits"
                ))
            })?,
            other => other.as_u64().unwrap_or(0),
        };
        if raw.limits.memory_mb < 32 {
            return Err(ConfigError(format!(
                "limits.memory_mb: {} is below the minimum of 32",
                raw.limits.memory_mb
            )));
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
            let policy = policy_content::extract_policy(&raw.settings)
                .and_then(|(content, _)| policy_content::parse(&content, &raw.settings));
            policy.map_err(|e| ConfigError(format!("settings: {e}")))?;
        }
        let records_results = fleet.as_ref().is_some_and(|f| f.takeover.is_some());
        if let Some(tools) = raw
            .tools
            .as_ref()
            .filter(|t| records_results && t.max_result_bytes > MAX_RECORDED_RESULT_BYTES)
        {
            let message = format!(
                "{} is above {MAX_RECORDED_RESULT_BYTES}, the largest result that [takeover] can record",
                tools.max_result_bytes
            );
            return Err(ConfigError(format!("tools.max_result_bytes: {message}")));
        }
        let sites = match (&fleet, raw.sites) {
            (Some(fleet), Some(tables)) => {
                let tables = serde_json::from_value(tables)
                    .map_err(|e| ConfigError(format!("sites: {e}")))?;
                let sites =
                    Sites::new(tables, &settings).map_err(|e| ConfigError(e.to_string()))?;
                if sites.site_index(fleet.site.as_str()).is_none() {
                    let message = format!(
                        "fleet.site: {} is not listed in [[sites.site]]",
                        fleet.site.as_str()
                    );
                    return Err(ConfigError(message));
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

/// Parses a `settings` table with the structure that it has in an operator's file.
///
/// # Errors
/// A field is invalid; the error names it.
pub(crate) fn read_table(settings: &Value) -> Result<RoutingConfig, String> {
    let mut pairs = Vec::new();
    flatten("", settings, &mut pairs);
    read_settings(pairs.iter().map(|(k, v)| (k.as_str(), v.as_str())))
}

/// Flattens nested JSON to the path and value pairs that [`read_settings`] parses, as in the simulator's INIT message.
/// A list of objects becomes `.count` and numbered items; a list of scalars becomes one value joined by commas.
fn flatten(path: &str, value: &Value, out: &mut Vec<(String, String)>) {
    let join = |key: &str| {
        if path.is_empty() {
            key.to_owned()
        } else {
            format!("{path}.{key}")
        }
    };
    let scalar = |v: &Value| match v {
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
                items.iter().map(scalar).collect::<Vec<_>>().join(","),
            ));
        }
        scalar_value => out.push((path.to_owned(), scalar(scalar_value))),
    }
}

#[cfg(test)]
mod tests;
