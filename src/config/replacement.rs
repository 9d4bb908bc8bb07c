//! Which configuration may replace the one in force at SIGHUP, and what of its settings counts then.
//!
//! A start is lenient: what a file leaves out has a default. A replacement has to be a whole file, since one
//! that was cut short or lost a key would quietly put defaults in the place of what served until then.

use super::{Config, ConfigError};
use crate::routing::types::RoutingConfig;
use serde_json::{Map, Value};

/// A configuration file as it was read, for the next one to be compared with.
#[derive(Clone, Debug)]
pub struct Document {
    /// Its fields.
    pub(super) table: Value,
    /// Whether its end can be seen: always in JSON, whose parser fails otherwise; by the last line's end in
    /// TOML.
    pub(super) is_terminated: bool,
}

/// What a replacement means for the settings in force.
#[derive(Clone, Debug, PartialEq)]
pub enum SettingsChange {
    /// They are as before.
    None,
    /// These are to be put into force.
    New(Box<RoutingConfig>),
    /// They differ, but the settings in force come by the policy epochs of the fleet.
    LeftToFleetPolicy,
}

impl Config {
    /// Checks that another configuration is whole enough to replace this one.
    ///
    /// # Errors
    /// Names the first fault: the text was cut short, a key is missing that this one has, or a deadline or
    /// the number of attempts is no number above 0.
    pub fn check_replacement(&self, new: &Config) -> Result<(), ConfigError> {
        if self.document.is_terminated && !new.document.is_terminated {
            return Err(ConfigError("cut short: its last line has no end".into()));
        }
        if let Some(key) = missing_key(&self.document.table, &new.document.table, "") {
            return Err(ConfigError(format!(
                "{key} is missing, which the configuration in force has"
            )));
        }
        check_values(&new.document.table["settings"])
    }

    /// Whether the settings in force come by the fleet's policy.
    fn has_fleet_policy(&self) -> bool {
        self.fleet
            .as_ref()
            .is_some_and(|fleet| fleet.policy.is_some())
    }

    /// Takes over what a checked replacement may change while the process runs; what is to be done about its
    /// settings.
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

/// The settings that count from a start only, by their names in the file, and whether they differ. The same
/// are each conductor's own in a fleet's policy.
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

/// New settings with those of the fields that count from a start only as they are in force.
fn keep_fixed(held: &RoutingConfig, new: RoutingConfig) -> RoutingConfig {
    RoutingConfig {
        index: held.index,
        routers: held.routers,
        zone: held.zone.clone(),
        endpoints_require_subscription: held.endpoints_require_subscription,
        kinds: held.kinds.clone(),
        kv_state_hold_limit: held.kv_state_hold_limit,
        decode_workers_prefill: held.decode_workers_prefill,
        load_reporting: held.load_reporting,
        connect_timeout: held.connect_timeout,
        batch_interval: held.batch_interval,
        ..new
    }
}

/// The path of the first key that one table has and its replacement lacks. A key without a value is absent.
fn missing_key(held: &Value, new: &Value, path: &str) -> Option<String> {
    match (held, new) {
        (Value::Object(held), Value::Object(new)) => {
            let present = held.iter().filter(|(_, value)| !value.is_null());
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
        (Value::Array(held), Value::Array(new)) => missing_in_list(held, new, path),
        // Something else stands where a table or a list was.
        (Value::Object(_) | Value::Array(_), _) => Some(path.to_owned()),
        _ => None,
    }
}

/// The same in lists, which may become longer and shorter: a table of the new list needs the keys that all
/// tables of its kind have in the old one. Classes of one effect are a kind, since keyed ones have keys of
/// their own.
fn missing_in_list(held: &[Value], new: &[Value], path: &str) -> Option<String> {
    let held: Vec<&Map<String, Value>> = held.iter().filter_map(Value::as_object).collect();
    new.iter().enumerate().find_map(|(i, item)| {
        let same_effect = |other: &&Map<String, Value>| other.get("effect") == item.get("effect");
        let mut alike: Vec<_> = held.iter().copied().filter(same_effect).collect();
        if alike.is_empty() {
            alike = held.clone();
        }
        let first = alike.first()?;
        let has =
            |table: &Map<String, Value>, key: &str| table.get(key).is_some_and(|v| !v.is_null());
        let mut shared = first
            .keys()
            .filter(|key| alike.iter().all(|table| has(table, key)));
        let missing = shared.find(|key| !item.as_object().is_some_and(|table| has(table, key)));
        missing.map(|key| format!("{path}[{i}].{key}"))
    })
}

/// Checks the names and deadlines of all classes, and the number of attempts.
fn check_values(settings: &Value) -> Result<(), ConfigError> {
    let check = |value: &Value, path: String| match value.as_f64() {
        Some(number) if number > 0.0 => Ok(()),
        _ => Err(ConfigError(format!("{path}: {value} is no number above 0"))),
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
                "settings.classes[{i}].name: {} is no name",
                class["name"]
            )));
        }
        for key in ["objective_us", "give_up_us"] {
            check(&class[key], format!("settings.classes[{i}].{key}"))?;
        }
    }
    Ok(())
}

/// What changes for new requests between two settings, for the log.
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
