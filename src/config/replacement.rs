//! Reload at SIGHUP: which configuration may replace the active one, and which of its settings take effect.
//!
//! At start, absent fields get defaults. A replacement has to be complete, since a truncated file or a lost key would
//! silently replace active settings by defaults.

use super::{Config, ConfigError};
use crate::routing::types::RoutingConfig;
use serde_json::{Map, Value};

/// A configuration file as it was read; a replacement is compared with it.
#[derive(Clone, Debug)]
pub struct Document {
    /// Fields of the file.
    pub(super) table: Value,
    /// Whether the end of the file is known not to be missing. Always true of JSON, which does not parse if truncated;
    /// true of TOML if the last line ends with a newline.
    pub(super) is_terminated: bool,
}

/// Effect of a replacement on the active settings.
#[derive(Clone, Debug, PartialEq)]
pub enum SettingsChange {
    /// The settings are unchanged.
    None,
    /// The caller has to activate these settings.
    New(Box<RoutingConfig>),
    /// The settings differ but are not activated, since the active ones are set by the fleet's policy epochs.
    LeftToFleetPolicy,
}

impl Config {
    /// Checks that another configuration is complete enough to replace this one.
    ///
    /// # Errors
    /// The first fault: the text is truncated, a key of this configuration is missing, or a deadline or the number of
    /// attempts is not a number above 0.
    pub fn check_replacement(&self, new: &Config) -> Result<(), ConfigError> {
        if self.document.is_terminated && !new.document.is_terminated {
            return Err(ConfigError(
                "file is cut short: its last line does not end with a newline".into(),
            ));
        }
        if let Some(key) = missing_key(&self.document.table, &new.document.table, "") {
            return Err(ConfigError(format!(
                "{key} is missing, but the active configuration has it: add it, or restart the router"
            )));
        }
        check_values(&new.document.table["settings"])
    }

    /// Whether the active settings are set by the fleet's policy epochs.
    fn has_fleet_policy(&self) -> bool {
        self.fleet
            .as_ref()
            .is_some_and(|fleet| fleet.policy.is_some())
    }

    /// Adopts the fields of a checked replacement that may change while the process runs. Returns what the caller has to
    /// do about the settings.
    pub fn replace_with(&mut self, new: Config) -> SettingsChange {
        self.discovery = new.discovery;
        self.document = new.document;
        let settings = keep_fixed(&self.settings, new.settings);
        if settings == self.settings {
            return SettingsChange::None;
        }
        if self.has_fleet_policy() {
            return SettingsChange::LeftToFleetPolicy;
        }
        self.settings = settings.clone();
        SettingsChange::New(Box::new(settings))
    }
}

/// Settings that take effect only at a restart, by their names in the file, and whether they differ. A fleet's policy
/// leaves the same settings to each router.
pub(super) fn fixed_differences(
    a: &RoutingConfig,
    b: &RoutingConfig,
) -> [(&'static str, bool); 12] {
    let roles = |s: &RoutingConfig| s.kinds.iter().map(|k| k.role).collect::<Vec<_>>();
    let memories = |s: &RoutingConfig| s.kinds.iter().map(|k| k.memory_tokens).collect::<Vec<_>>();
    let names = |s: &RoutingConfig| s.kinds.iter().map(|k| k.name.clone()).collect::<Vec<_>>();
    [
        ("settings.self_index", a.index != b.index),
        ("settings.replicas_of_me", a.routers != b.routers),
        ("settings.my_zone", a.zone != b.zone),
        (
            "settings.registry_mode",
            a.endpoints_require_subscription != b.endpoints_require_subscription,
        ),
        ("settings.skus", names(a) != names(b)),
        ("settings.family_info.role_by_kind", roles(a) != roles(b)),
        ("settings.family_info.kv_tokens", memories(a) != memories(b)),
        (
            "settings.family_info.release_us",
            a.kv_state_hold_limit != b.kv_state_hold_limit,
        ),
        (
            "settings.family_info.self_prefill",
            a.decode_workers_prefill != b.decode_workers_prefill,
        ),
        ("settings.load_report", a.load_reporting != b.load_reporting),
        ("settings.tick_us", a.batch_interval != b.batch_interval),
        (
            "settings.permissions.connect_timeout_us",
            a.connect_timeout != b.connect_timeout,
        ),
    ]
}

/// The new settings, with the active values of the fields that take effect only at a restart.
fn keep_fixed(active: &RoutingConfig, new: RoutingConfig) -> RoutingConfig {
    RoutingConfig {
        index: active.index,
        routers: active.routers,
        zone: active.zone.clone(),
        endpoints_require_subscription: active.endpoints_require_subscription,
        kinds: active.kinds.clone(),
        kv_state_hold_limit: active.kv_state_hold_limit,
        decode_workers_prefill: active.decode_workers_prefill,
        load_reporting: active.load_reporting,
        connect_timeout: active.connect_timeout,
        batch_interval: active.batch_interval,
        ..new
    }
}

/// The path of the first key that the active table has and the new one lacks. A key whose value is null counts as absent.
fn missing_key(active: &Value, new: &Value, path: &str) -> Option<String> {
    match (active, new) {
        (Value::Object(active), Value::Object(new)) => {
            let present = active.iter().filter(|(_, value)| !value.is_null());
            present.into_iter().find_map(|(key, value)| {
                let path = if path.is_empty() {
                    key.clone()
                } else {
                    format!("{path}.{key}")
                };
                match new.get(key) {
                    None | Some(Value::Null) => Some(path),
                    Some(new) => missing_key(value, new, &path),
                }
            })
        }
        (Value::Array(active), Value::Array(new)) => missing_in_list(active, new, path),
        // A value of another type has replaced a table or a list.
        (Value::Object(_) | Value::Array(_), _) => Some(path.to_owned()),
        _ => None,
    }
}

/// [`missing_key`] for lists, whose length may change: a table of the new list needs the keys that all similar tables of
/// the active list have. Classes are similar if they have the same effect, since an effect may need keys of its own.
/// If no table is similar, all tables of the active list are compared.
fn missing_in_list(active: &[Value], new: &[Value], path: &str) -> Option<String> {
    let active: Vec<&Map<String, Value>> = active.iter().filter_map(Value::as_object).collect();
    new.iter().enumerate().find_map(|(i, item)| {
        let same_effect = |other: &&Map<String, Value>| other.get("effect") == item.get("effect");
        let mut similar: Vec<_> = active.iter().copied().filter(same_effect).collect();
        if similar.is_empty() {
            similar = active.clone();
        }
        let first = similar.first()?;
        let has =
            |table: &Map<String, Value>, key: &str| table.get(key).is_some_and(|v| !v.is_null());
        let mut shared = first
            .keys()
            .filter(|key| similar.iter().all(|table| has(table, key)));
        let missing = shared.find(|key| !item.as_object().is_some_and(|table| has(table, key)));
        missing.map(|key| format!("{path}[{i}].{key}"))
    })
}

/// Validates the names and deadlines of all classes, and the number of attempts.
fn check_values(settings: &Value) -> Result<(), ConfigError> {
    let check = |value: &Value, path: String| match value.as_f64() {
        Some(number) if number > 0.0 => Ok(()),
        _ => Err(ConfigError(format!(
            "{path}: {value} is not a number above 0"
        ))),
    };
    let attempts = &settings["permissions"]["max_attempts"];
    check(attempts, "settings.permissions.max_attempts".to_owned())?;
    for (i, class) in settings["classes"]
        .as_array()
        .into_iter()
        .flatten()
        .enumerate()
    {
        if class["name"].as_str().is_none_or(str::is_empty) {
            return Err(ConfigError(format!(
                "settings.classes[{i}].name: {} is not a nonempty string",
                class["name"]
            )));
        }
        for key in ["objective_us", "give_up_us"] {
            check(&class[key], format!("settings.classes[{i}].{key}"))?;
        }
    }
    Ok(())
}

/// Describes for the log what changes for new requests between two settings.
pub fn describe_changes(from: &RoutingConfig, to: &RoutingConfig) -> String {
    let mut changes = Vec::new();
    for class in &to.classes {
        match from.classes.iter().find(|old| old.name == class.name) {
            None => changes.push(format!("class {} added", class.name)),
            Some(old) if old.idempotency != class.idempotency => {
                changes.push(format!("class {} has another effect", class.name));
            }
            Some(old) if old != class => changes.push(format!("class {} changed", class.name)),
            Some(_) => {}
        }
    }
    let dropped = from
        .classes
        .iter()
        .filter(|old| to.classes.iter().all(|class| class.name != old.name));
    changes.extend(dropped.map(|class| format!("class {} dropped", class.name)));
    if from.max_attempts != to.max_attempts {
        changes.push(format!(
            "max_attempts {} -> {}",
            from.max_attempts, to.max_attempts
        ));
    }
    if changes.is_empty() {
        changes.push("other fields changed".to_owned());
    }
    changes.join(", ")
}

#[cfg(test)]
mod tests;
